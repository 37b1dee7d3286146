#!/usr/bin/perl
# A part of prompts crashes workers, each after the first event of its answer.
# Requests with it come one at a time, at any machine.
use strict;
use warnings;
use World;

my $STABLE_MS = 3000;
my $PART = 'dead0001';
my $REQUESTS = 12;
my $PAUSE_MS = 2000;
# An entry lapses after three heartbeats of silence.
my $LAPSE_MS = 3600;
# A worker is back after some seconds.
my $CRASH_MS = 2000;
my $PER_ZONE = 8;

World::open_record("review/$ENV{CASE}/record.txt");

my (%sent, @crashes, @late, %ends);
my @zones = qw(a a b b c);

# The worker ends, and is back as a new, empty process after a while.
sub crash {
	my ($worker, $id) = @_;

	return if $worker->{has_ended};
	push @crashes, World::now();
	World::record(sprintf '%s crashes under %s, crash %d',
		$worker->{id}, $id, scalar @crashes);
	World::worker_end($worker);
	World::after($CRASH_MS, sub { new_worker($worker->{zone}, 0, 0) });
	World::after($LAPSE_MS, sub { World::remove('servers', $worker->{id}) });
}

sub run_stream {
	my ($worker, $conn, $message) = @_;
	my $id = $message->{fields}{'x-wagtailferry-attempt-id'};
	my $request = $sent{$id};
	my $now = World::now();

	if ($request->{has_part}) {
		World::record("$id from $request->{edge}{name} reaches "
			. $worker->{id});
		push @late, $id
			if @crashes >= 5 && $now > $crashes[4] + $STABLE_MS;
	}
	my $first = $message->{fields}{'last-event-id'} || 0;

	World::stream($worker, $conn, $message, first_ms => 60, pause => 20,
		events => 30, on_event => sub {
			return 1 if !$request->{has_part} || !World::trouble()
				|| $_[0]{next} <= $first + 1;
			crash($worker, $id);
			return 0;
		});
}

sub new_worker {
	my ($zone, $from, $to) = @_;

	World::worker_new('textverk', $zone, \&run_stream, type => 'big',
		slots => 192, from => $from, to => $to);
}

new_worker($_, 0, 80) for map { ($_) x $PER_ZONE } qw(a b c);

World::config(7, [World::route('/draft/', 'streaming', 'textverk')],
	[World::engine_service('textverk')],
	[{name => 'hotel', 'api-keys' => ['key1'], priority => 1}]);

my @edges = map { World::edge_new("edge-$_", $zones[$_]) } 0 .. $#zones;
World::edge_start($_) for @edges;
World::run(1500);
World::wait_ready(@edges);
World::run(3000);

# A request with the part shares its other parts with the sound ones.
sub draft {
	my ($edge, $has_part) = @_;
	my $request;

	$request = World::request($edge->{front}, 'POST', '/draft/2f',
		"Authorization: Token key1\r\nX-Wagtailferry-Deadline-Ms: 20000\r\n"
		. "X-Wagtailferry-Model: m0\r\n"
		. "X-Wagtailferry-Token-Counts: 760,120\r\n"
		. 'X-Wagtailferry-Prompt-Prefix: 5c1e07a2:40,'
		. ($has_part ? "$PART:300," : '')
		. sprintf("%08x:420\r\n", int rand 2**31),
		'a swan', sub {
			my ($r) = @_;
			my $how = ($r->{status} || 0) . " $r->{end}";

			$ends{$how}++ if !$has_part;
			World::record("$r->{id} from $edge->{name} ends: $how")
				if $has_part;
		});
	$request->{has_part} = $has_part;
	$request->{edge} = $edge;
	$sent{$request->{id}} = $request;
	World::record("$request->{id}, with the part, is sent to $edge->{name}")
		if $has_part;
	return $request;
}

# Sound requests for a time in ms, 20 a second.
sub sound {
	my ($ms) = @_;
	my $end = World::now() + $ms;

	while (World::now() < $end) {
		draft($edges[rand @edges], 0);
		World::run(50);
	}
}

sound(1500);
for my $i (1 .. $REQUESTS) {
	draft($edges[$i % @edges], 1);
	sound($PAUSE_MS);
}
World::run(3000);
World::record(scalar(@crashes) . ' crashes; sound requests ended: '
	. join ', ', map { "$_: $ends{$_}" } sort keys %ends);
World::finish(1, 'BUDGET broken: ' . scalar(@late) . ' requests with the part '
	. "reached workers over $STABLE_MS ms after the fifth crash") if @late > 3;
World::finish(0, 'BUDGET held: ' . scalar(@late) . ' late requests');
