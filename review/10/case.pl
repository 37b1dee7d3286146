#!/usr/bin/perl
# A key is taken away while the store is silent to one machine. Its caller goes
# on with requests on a public route at that machine.
use strict;
use warnings;
use World;

my $REVOKE_MS = 5000;

World::open_record("review/$ENV{CASE}/record.txt");

my (%sent, @foreign, $removed_at, $kept);

sub work {
	my ($worker, $conn, $message) = @_;
	my $id = $message->{fields}{'x-wagtailferry-attempt-id'};
	my $tenant = $message->{fields}{'x-wagtailferry-tenant'};

	World::record("$id runs at $worker->{id} for tenant "
		. (defined $tenant ? $tenant : '(none)'));
	push @foreign, $id if defined $tenant && $removed_at
		&& $sent{$id}{has_removed_key}
		&& $sent{$id}{sent_at} > $removed_at + $REVOKE_MS;
	World::after(60, sub {
		World::answer($conn, 200, World::head($worker, $message), 'swans');
	});
}

World::worker_new('orderdisk', $_, \&work) for qw(a b c);

sub put_config {
	my ($version, @keys) = @_;

	World::config($version, [
		World::route('/look/', 'idempotent', 'orderdisk'),
		World::route('/open/', 'idempotent', 'orderdisk',
			public => JSON::PP::true)],
		[World::plain_service('orderdisk')],
		[{name => 'hotel', 'api-keys' => \@keys, priority => 1}]);
}

put_config(7, 'key1', 'key2');

my @zones = qw(a a b b c);
my @edges = map { World::edge_new("edge-$_", $zones[$_]) } 0 .. $#zones;
World::edge_start($_) for @edges;
World::run(1500);
World::wait_ready(@edges);
World::run(4000);

sub look {
	my ($edge, $path, $key) = @_;
	my $request;

	$request = World::request($edge->{front}, 'GET', $path,
		"Authorization: Token $key\r\nX-Wagtailferry-Deadline-Ms: 3000\r\n",
		'', sub {
			my ($r) = @_;
			World::record("$r->{id} is answered " . ($r->{status} || 0));
		});
	$request->{has_removed_key} = $key eq 'key2';
	$sent{$request->{id}} = $request;
	World::record("$request->{id} for $path is sent to $edge->{name} with $key");
	return $request;
}

look($_, '/open/2f', 'key2') for @edges;
World::run(500);

# The store is silent to one machine for 9 s, on open connections and new ones.
if (World::trouble()) {
	World::record('the store is silent to edge-0');
	$edges[0]{store}{is_silent} = 1;
	World::conn_silence($_) for World::open_conns($edges[0]{store});
	World::after(9000, sub {
		World::record('the store answers edge-0 again');
		$edges[0]{store}{is_silent} = 0;
	});
}
World::run(300);
put_config(8, 'key1');
$removed_at = World::now();
World::run($REVOKE_MS + 100);
for my $round (1 .. 8) {
	for my $edge (@edges) {
		look($edge, '/open/2f', 'key2');
		look($edge, '/look/2f', 'key2');
	}
	World::run(300);
}
World::run(4000);
World::finish(1, 'UNASKED broken: ' . scalar(@foreign) . ' requests ran for a '
	. "tenant that had not held their key for over $REVOKE_MS ms") if @foreign;
World::finish(0, 'UNASKED held');
