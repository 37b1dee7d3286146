#!/usr/bin/perl
# Two of a stream's runs are broken off, the second one by a head that has been
# leaving for longer than drain-ms.
use strict;
use warnings;
use World;

my $DRAIN_MS = 2000;
my $EVENTS = 60;

World::open_record("review/$ENV{CASE}/record.txt");

my (%runs, %streams, @late, $left_at, $special, $leaver);
# Answers, and those that were broken off, by worker, in the spell of the faults.
my (%answers, %broken);
my $is_spell = 0;

sub run_stream {
	my ($worker, $conn, $message) = @_;
	my $id = $message->{fields}{'x-wagtailferry-attempt-id'};
	my $run = ++$runs{$id};
	my %how = (first_ms => 30, pause => 15, events => 20);

	$answers{$worker->{id}}++ if $is_spell;
	if (defined $special && $id eq $special) {
		World::record("$id, run $run, begins at $worker->{id} after event "
			. ($message->{fields}{'last-event-id'} || 0));
		%how = (first_ms => 30, pause => 100, events => $EVENTS);
		$how{on_event} = sub { break_off($worker, $run, @_) };
		leave($worker) if $run == (World::trouble() ? 2 : 1);
	}
	if ($worker->{is_leaving} && World::now() > $left_at + $DRAIN_MS) {
		World::record(sprintf '%s reaches %s %.0f ms after its leaving was '
			. 'acknowledged', $id, $worker->{id},
			World::now() - $left_at);
		push @late, $id;
	}
	World::stream($worker, $conn, $message, %how);
}

# The first run ends within its second event, the second one 2.5 s after its
# worker's leaving was acknowledged. Returns whether the stream goes on.
sub break_off {
	my ($worker, $run, $stream) = @_;
	my $is_due = $run == 1 ? $stream->{next} == 2
		: $run == 2 && $left_at && World::now() > $left_at + $DRAIN_MS + 500;

	return 1 if !World::trouble() || !$is_due;
	$broken{$worker->{id}}++;
	World::record("$stream->{id}, run $run, is broken off by $worker->{id} "
		. "at event $stream->{next}");
	delete $worker->{streams}{$stream->{id}};
	World::conn_reset($stream->{conn});
	return 0;
}

# The worker reports that it leaves, and ends 5 s later.
sub leave {
	my ($worker) = @_;

	$leaver = $worker;
	World::after(100, sub {
		$left_at = World::now();
		$worker->{is_leaving} = 1;
		$worker->{state} = 'draining';
		World::worker_publish($worker);
		World::record("$worker->{id} is draining");
	});
	World::after(5100, sub {
		World::record("$worker->{id} ends");
		World::remove('servers', $worker->{id});
		World::worker_end($worker);
	});
}

my @workers = map {
	World::worker_new('textverk', $_, \&run_stream, type => 'big', slots => 192,
		from => 0, to => 80)
} qw(a a a b b c);

World::config(7, [World::route('/draft/', 'streaming', 'textverk')],
	[World::engine_service('textverk')],
	[{name => 'hotel', 'api-keys' => ['key1'], priority => 1}]);

my @zones = qw(a a b b c);
my @edges = map { World::edge_new("edge-$_", $zones[$_]) } 0 .. $#zones;
World::edge_start($_) for @edges;
World::run(1500);
World::wait_ready(@edges);
World::run(3500);

sub draft {
	my ($edge) = @_;
	my $request;

	$request = World::request($edge->{front}, 'POST', '/draft/2f',
		"Authorization: Token key1\r\nX-Wagtailferry-Deadline-Ms: 20000\r\n"
		. "X-Wagtailferry-Model: m0\r\n"
		. "X-Wagtailferry-Token-Counts: 760,240\r\n"
		. sprintf("X-Wagtailferry-Prompt-Prefix: 5c1e07a2:40,%08x:720\r\n",
			int rand 2**31),
		'a swan', sub {
			my ($r) = @_;
			World::record("$r->{id} from $edge->{name} ends: "
				. ($r->{status} || 0) . " $r->{end}");
		});
	$streams{$request->{id}} = $request;
	return $request;
}

# Sends so many drafts to each machine, 20 a second.
sub drafts {
	my ($rounds) = @_;

	for my $round (1 .. $rounds) {
		draft($_) for @edges;
		World::run(50);
	}
}

# A spell of some 5 s, with the draft that is broken off after 2.2 s.
drafts(10);
$is_spell = 1;
drafts(42);
my $request = draft($edges[0]);
$special = $request->{id};
drafts(56);
$is_spell = 0;
for my $round (1 .. 6) {
	draft($_) for @edges;
	World::run(500);
}
World::run(15000, sub { !grep { !defined $_->{end} } values %streams });
World::record("$_: $broken{$_} of $answers{$_} answers were broken off")
	for sort keys %broken;
World::finish(2, 'the worker did not leave') if !$leaver;
World::finish(1, 'DRAIN broken: ' . scalar(@late) . ' requests reached a worker'
	. " over $DRAIN_MS ms after its leaving was acknowledged") if @late;
World::finish(0, 'DRAIN held');
