#!/usr/bin/perl
# A part of prompts crashes workers. All processes of the system are killed at the
# same moment and start again. Requests with the part come on.
use strict;
use warnings;
use World;

my $STABLE_MS = 3000;
my $PART = 'dead0001';
my $GROUP_PAUSE_MS = 4500;
# An entry lapses after three heartbeats of silence.
my $LAPSE_MS = 3600;
# A worker is back after some seconds.
my $CRASH_MS = 2000;
my $PER_ZONE = 5;

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
		push @late, $id if @crashes >= 5
			&& $now > $crashes[4] + $STABLE_MS
			&& $now > $request->{edge}{started_at} + $STABLE_MS;
	}
	World::stream($worker, $conn, $message, first_ms => 60, pause => 20,
		events => 30, on_head => sub {
			return 1 if !$request->{has_part};
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

# Three requests with the part, at three machines, 120 ms apart.
sub group {
	my ($first) = @_;

	for my $i (0 .. 2) {
		draft($edges[($first + $i) % @edges], 1);
		World::run(120);
	}
	sound($GROUP_PAUSE_MS);
}

sound(1500);
group($_) for 0 .. 3;
World::finish(2, 'no five crashes') if @crashes < 5;
World::finish(2, 'the part is not yet kept out') if @late > 3;
World::record(scalar(@crashes) . ' crashes so far');

if (World::trouble()) {
	World::edge_signal($_, 'KILL') for @edges;
	World::run(500);
	World::edge_start($_) for @edges;
}
World::run(1000);
World::wait_ready(@edges);
sound(3000);
group($_) for 0 .. 3;
World::run(2000);
World::record(scalar(@crashes) . ' crashes; sound requests ended: '
	. join ', ', map { "$_: $ends{$_}" } sort keys %ends);
World::finish(1, 'BUDGET broken: ' . scalar(@late) . ' requests with the part '
	. "reached workers over $STABLE_MS ms after the fifth crash") if @late > 3;
World::finish(0, 'BUDGET held: ' . scalar(@late) . ' late requests');
