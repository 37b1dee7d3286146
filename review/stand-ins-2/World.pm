package World;

# Stand-ins of the platform on loopback for the scripts of this review: the
# store, workers, clients, and the edge processes that run against them. One
# process, one event loop, real clock.

use strict;
use warnings;
use Errno qw(EAGAIN EWOULDBLOCK EINPROGRESS EINTR);
use File::Temp qw(tempdir);
use IO::Handle;
use IO::Socket::INET;
use JSON::PP;
use POSIX qw(:sys_wait_h);
use Socket qw(SOL_SOCKET SO_LINGER SO_ERROR IPPROTO_TCP TCP_NODELAY);
use Time::HiRes qw(clock_gettime CLOCK_MONOTONIC time);

our $JSON = JSON::PP->new->canonical->utf8;
our $PREFIX = 'X-Wagtailferry';

# Milliseconds of the steady clock since the start of the script.
my $start = clock_gettime(CLOCK_MONOTONIC);

sub now { return 1000 * (clock_gettime(CLOCK_MONOTONIC) - $start) }

my (%reads, %writes, @timers, @records, $record_file, %edges, $folder);
my $trouble = defined $ENV{TROUBLE} ? $ENV{TROUBLE} : 1;

sub trouble { return $trouble }
sub folder { return $folder }

# Opens the record of what was sent, answered and run.
sub open_record {
	my ($path) = @_;
	open($record_file, '>', $path) or exit 2;
	$record_file->autoflush(1);
	$folder = tempdir(CLEANUP => !$ENV{KEEP});
	$SIG{PIPE} = 'IGNORE';
	$SIG{TERM} = $SIG{INT} = sub { finish(2, 'interrupted') };
	record("trouble=$trouble");
	print STDERR "$folder\n" if $ENV{KEEP};
}

sub record {
	my ($line) = @_;
	printf $record_file "%9.3f s  %s\n", now() / 1000, $line;
}

# Ends all processes that the script started, and the script.
sub finish {
	my ($code, $why) = @_;
	record("result: $why, exit $code");
	print "$why\n";
	for my $edge (values %edges) {
		kill 'KILL', $edge->{pid} if $edge->{pid};
		waitpid $edge->{pid}, 0 if $edge->{pid};
		$edge->{pid} = undef;
	}
	exit $code;
}

# An error of the script leaves no process behind, and is no result.
END {
	kill 'KILL', map { $_->{pid} || () } values %edges;
	$? = 2 if $? > 2;
}

# Event loop

sub after {
	my ($ms, $call) = @_;
	my $timer = {at => now() + $ms, call => $call};
	push @timers, $timer;
	return $timer;
}

sub cancel { $_[0]{call} = undef }

sub step {
	my ($until) = @_;
	my $now = now();
	my $next = $until;
	my ($rin, $win) = ('', '');
	my @due = grep { $_->{at} <= $now } @timers;

	if (@due) {
		@timers = grep { $_->{at} > $now } @timers;
		for my $timer (sort { $a->{at} <=> $b->{at} } @due) {
			$timer->{call}->() if $timer->{call};
		}
		return;
	}
	for my $timer (@timers) {
		$next = $timer->{at} if $timer->{at} < $next;
	}
	vec($rin, $_, 1) = 1 for keys %reads;
	vec($win, $_, 1) = 1 for keys %writes;
	my $wait = ($next - $now) / 1000;
	my ($rout, $wout);
	my $n = select($rout = $rin, $wout = $win, undef, $wait > 0 ? $wait : 0);
	return if $n <= 0;
	for my $fd (keys %reads) {
		$reads{$fd}->() if vec($rout, $fd, 1) && $reads{$fd};
	}
	for my $fd (keys %writes) {
		$writes{$fd}->() if vec($wout, $fd, 1) && $writes{$fd};
	}
}

# Runs until the time has passed or the condition holds; returns whether the
# condition holds.
sub run {
	my ($ms, $condition) = @_;
	my $end = now() + $ms;

	while (now() < $end) {
		return 1 if $condition && $condition->();
		step($end);
	}
	return $condition ? $condition->() : 1;
}

# Connections

sub conn_new {
	my ($socket, $on_data, $on_close) = @_;
	my $conn = {
		socket => $socket, fd => fileno($socket), in => '', out => '',
		on_data => $on_data, on_close => $on_close, open => 1,
	};

	$socket->blocking(0);
	setsockopt($socket, IPPROTO_TCP, TCP_NODELAY, 1);
	$reads{$conn->{fd}} = sub { conn_read($conn) };
	return $conn;
}

sub conn_read {
	my ($conn) = @_;
	my $n = sysread($conn->{socket}, my $bytes, 65536);

	return if !defined $n && ($! == EAGAIN || $! == EINTR);
	if (!$n) {
		my $call = $conn->{on_close};

		conn_drop($conn);
		$call->($conn) if $call;
		return;
	}
	$conn->{in} .= $bytes;
	$conn->{on_data}->($conn);
}

sub conn_send {
	my ($conn, $bytes) = @_;

	return if !$conn->{open};
	$conn->{out} .= $bytes;
	conn_flush($conn);
}

sub conn_flush {
	my ($conn) = @_;

	while (length $conn->{out}) {
		my $n = syswrite($conn->{socket}, $conn->{out});

		if (!defined $n) {
			last if $! == EAGAIN || $! == EINTR;
			$conn->{out} = '';
			last;
		}
		substr($conn->{out}, 0, $n) = '';
	}
	return if !$conn->{open};
	if (length $conn->{out}) {
		$writes{$conn->{fd}} = sub { conn_flush($conn) };
	} else {
		delete $writes{$conn->{fd}};
	}
}

# Closes the connection without a callback.
sub conn_drop {
	my ($conn) = @_;

	return if !$conn->{open};
	$conn->{open} = 0;
	delete $reads{$conn->{fd}};
	delete $writes{$conn->{fd}};
	close $conn->{socket};
}

sub conn_reset {
	my ($conn) = @_;

	setsockopt($conn->{socket}, SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
		if $conn->{open};
	conn_drop($conn);
}

# Leaves the connection open, but neither reads nor sends any more.
sub conn_silence {
	my ($conn) = @_;

	delete $reads{$conn->{fd}};
	delete $writes{$conn->{fd}};
	$conn->{silent} = 1;
}

# Takes one HTTP message from what was received; undef if it is incomplete.
sub take_message {
	my ($conn) = @_;
	my $end = index($conn->{in}, "\r\n\r\n");
	my %message;

	return if $end < 0;
	my ($first, @lines) = split /\r\n/, substr($conn->{in}, 0, $end);
	for my $line (@lines) {
		my ($name, $value) = $line =~ /^([^:]+):\s*(.*)$/ or next;
		$message{fields}{lc $name} = $value;
	}
	my $length = $message{fields}{'content-length'} || 0;
	return if length($conn->{in}) < $end + 4 + $length;
	$message{first} = $first;
	$message{body} = substr($conn->{in}, $end + 4, $length);
	substr($conn->{in}, 0, $end + 4 + $length) = '';
	return \%message;
}

# A server on the port, or a free one. on_request gets the connection and
# the message.
sub serve {
	my ($on_request, $on_close, $port) = @_;
	my $listener = IO::Socket::INET->new(
		LocalAddr => '127.0.0.1', LocalPort => $port || 0, Listen => 256,
		Proto => 'tcp', ReuseAddr => 1) or finish(2, "can't listen");
	my $server = {
		listener => $listener, conns => {},
		address => '127.0.0.1:' . $listener->sockport,
	};

	$listener->blocking(0);
	$reads{fileno $listener} = sub {
		while (my $socket = $listener->accept) {
			my $conn;

			$conn = conn_new($socket, sub {
				while (my $message = take_message($conn)) {
					$on_request->($conn, $message);
					last if !$conn->{open};
				}
			}, sub {
				delete $server->{conns}{$conn};
				$on_close->($conn) if $on_close;
			});
			$server->{conns}{$conn} = $conn;
			conn_silence($conn) if $server->{is_silent};
		}
	};
	return $server;
}

sub open_conns { return grep { $_->{open} } values %{$_[0]{conns}} }

# Closes the listener and resets all connections, as the end of a process.
sub end_server {
	my ($server) = @_;

	delete $reads{fileno $server->{listener}};
	close $server->{listener};
	conn_reset($_) for open_conns($server);
}

# A port on which nothing listens, below those that the system takes for outgoing
# connections; scripts that run at the same time have other ranges.
my $next_port = 10000 + 100 * ($$ % 200);

sub free_port {
	for (1 .. 100) {
		my $port = $next_port++;
		my $socket = IO::Socket::INET->new(LocalAddr => '127.0.0.1',
			LocalPort => $port, Listen => 1, Proto => 'tcp');

		next if !$socket;
		close $socket;
		return $port;
	}
	finish(2, 'no free port');
}

sub answer {
	my ($conn, $status, $fields, $body) = @_;

	$body = '' if !defined $body;
	conn_send($conn, "HTTP/1.1 $status X\r\n$fields"
		. 'Content-Length: ' . length($body) . "\r\n\r\n$body");
}

sub answer_json {
	my ($conn, $status, $value) = @_;

	answer($conn, $status, "Content-Type: application/json\r\n",
		$JSON->encode($value));
}

# The store

our $revision = 10;
my (%objects, @events, @watches);

sub put {
	my ($kind, $name, $spec) = @_;
	my $object = {
		metadata => {
			name => $name, revision => ++$revision, created => 1,
			finalizers => [], deleting => JSON::PP::false,
		},
		spec => $spec, status => undef,
	};

	$objects{$kind}{$name} = $object;
	push @events, {kind => $kind, at => $revision,
		event => {object => $object, deleted => JSON::PP::false}};
	serve_watches();
	return $object;
}

sub remove {
	my ($kind, $name) = @_;
	my $object = delete $objects{$kind}{$name} or return;

	push @events, {kind => $kind, at => ++$revision,
		event => {object => $object, deleted => JSON::PP::true}};
	serve_watches();
}

sub answer_watch {
	my ($watch) = @_;
	my @new = map { $_->{event} } grep {
		$_->{kind} eq $watch->{kind} && $_->{at} > $watch->{since}
	} @events;

	return 0 if !@new && now() < $watch->{until} - 0.5;
	answer_json($watch->{conn}, 200, {events => \@new, at => $revision});
	return 1;
}

sub serve_watches {
	my @open = grep { $_->{conn}{open} && !$_->{conn}{silent} } @watches;

	@watches = ();
	push @watches, grep { !answer_watch($_) } @open;
}

sub write_object {
	my ($conn, $kind, $name, $body, $is_new) = @_;
	my $sent = eval { $JSON->decode($body) };
	my $known;

	if (ref $sent ne 'HASH') {
		answer_json($conn, 400, {});
		return;
	}

	$name = $sent->{metadata}{name} if !defined $name;
	$known = $objects{$kind}{$name};
	if ($is_new ? $known : !$known) {
		answer_json($conn, $is_new ? 409 : 404, $known || {});
		return;
	}
	my $expected = $sent->{metadata}{revision};
	if (!$is_new && defined $expected
		&& $expected != $known->{metadata}{revision}) {
		answer_json($conn, 409, $known);
		return;
	}
	answer_json($conn, $is_new ? 201 : 200, put($kind, $name, $sent->{spec}));
}

sub on_store_request {
	my ($conn, $message) = @_;
	my ($method, $url) = split ' ', $message->{first};
	my ($path, $query) = split /\?/, $url, 2;
	my (undef, undef, $kind, $name) = split m{/}, $path;
	my %query = map { split /=/, $_, 2 } split /&/, $query || '';

	return if $conn->{silent};
	if ($method ne 'GET') {
		write_object($conn, $kind, $name, $message->{body},
			$method eq 'POST');
	} elsif (defined $query{watch}) {
		my $watch = {conn => $conn, kind => $kind,
			since => $query{watch},
			until => now() + ($query{'wait-ms'} || 0)};

		return if answer_watch($watch);
		push @watches, $watch;
		after($watch->{until} - now(), \&serve_watches);
	} elsif (defined $name) {
		my $object = $objects{$kind}{$name};

		answer_json($conn, $object ? 200 : 404, $object || {});
	} else {
		answer_json($conn, 200, {
			items => [map { $objects{$kind}{$_} }
				sort keys %{$objects{$kind} || {}}],
			'has-more' => JSON::PP::false, at => $revision});
	}
}

# An address of the store; each edge gets its own.
sub store_front { return serve(\&on_store_request) }

# Edges

# The template of the deploy file, with the fields of the platform's settings.
sub render {
	my ($template, $fields) = @_;
	my $lookup = sub {
		my $value = $fields;

		$value = ref $value eq 'ARRAY' ? $value->[$_] : $value->{$_}
			for split /\./, $_[0];
		return $value;
	};

	$template =~ s/\{\{([a-z0-9_.-]+)\|json\}\}/JSON::PP->new->allow_nonref->encode($lookup->($1))/ge;
	$template =~ s/\{\{([a-z0-9_.-]+)\}\}/$lookup->($1)/ge;
	return $template;
}

sub edge_new {
	my ($name, $zone, %changes) = @_;
	my $edge = {name => $name, zone => $zone, store => store_front(),
		settings => "$folder/$name.json", log => "$folder/$name.log"};
	my $fields = {
		'node-name' => $name, ip => '127.0.0.1', zone => $zone,
		'internal-ports' => [free_port() + 0, 0],
		listen => {front => '127.0.0.1:' . free_port(),
			ready => '127.0.0.1:' . free_port()},
		limits => {'max-fds' => 6150, 'memory-mb' => 390},
		bounds => {'revoke-ms' => 5000, 'grace-s' => 8,
			'retry-budget-ratio' => 0.2, 'retry-budget-slack' => 202,
			'fencing-required' => JSON::PP::true,
			stall_ms => 3000, %changes},
		platform => {address => $edge->{store}{address}},
	};
	open(my $in, '<', 'deploy/edge.json.in') or finish(2, 'no template');
	my $text = render(join('', <$in>), $fields);
	open(my $out, '>', $edge->{settings}) or finish(2, 'no settings');
	print $out $text;
	close $out;
	$edge->{front} = $fields->{listen}{front};
	$edge->{ready} = $fields->{listen}{ready};
	$edges{$name} = $edge;
	return $edge;
}

# Starts the command of the deploy file.
sub edge_start {
	my ($edge) = @_;
	my $pid = fork;

	finish(2, "can't fork") if !defined $pid;
	if (!$pid) {
		$ENV{WAGTAILFERRY_NODE_FILE} = $edge->{settings};
		open(STDOUT, '>>', $edge->{log});
		open(STDERR, '>>', $edge->{log});
		exec {"target/wagtailferry-edge"} "target/wagtailferry-edge"
			or POSIX::_exit(127);
	}
	$edge->{pid} = $pid;
	$edge->{started_at} = now();
	record("$edge->{name} starts");
}

sub edge_signal {
	my ($edge, $signal) = @_;

	record("$edge->{name} gets SIG$signal");
	kill $signal, $edge->{pid};
	if ($signal eq 'KILL') {
		waitpid $edge->{pid}, 0;
		$edge->{pid} = undef;
	}
}

sub edge_has_ended {
	my ($edge) = @_;

	return $edge->{pid} && waitpid($edge->{pid}, WNOHANG) == $edge->{pid};
}

# Clients

my $next_id = 0;

# Sends a request on a new connection. on_end gets the request, with status,
# fields, body and whether the answer is whole.
sub request {
	my ($address, $method, $path, $fields, $body, $on_end) = @_;
	my $id = sprintf 'a%07d', ++$next_id;
	my $request = {id => $id, sent_at => now(), in => '', body => '',
		on_end => $on_end};
	my $socket = IO::Socket::INET->new(PeerAddr => $address, Proto => 'tcp',
		Timeout => 1);
	my $text = "$method $path HTTP/1.1\r\nHost: shop.example\r\n"
		. "$PREFIX-Attempt-Id: $id\r\n$fields";

	$body = '' if !defined $body;
	$text .= 'Content-Length: ' . length($body) . "\r\n" if length $body;
	if (!$socket) {
		$request->{status} = 0;
		$request->{end} = 'not connected';
		$on_end->($request) if $on_end;
		return $request;
	}
	record("sent: $id $method $path to $address");
	my $conn;
	$conn = conn_new($socket, sub { client_read($request, $conn) }, sub {
		client_end($request, 'closed');
	});
	$request->{conn} = $conn;
	conn_send($conn, "$text\r\n$body");
	return $request;
}

sub client_end {
	my ($request, $how) = @_;

	return if defined $request->{end};
	$request->{end} = $how;
	$request->{ended_at} = now();
	record("answered: $request->{id} " . ($request->{status} || 0) . " $how");
	conn_drop($request->{conn});
	$request->{on_end}->($request) if $request->{on_end};
}

sub client_read {
	my ($request, $conn) = @_;
	my $end;

	if (!$request->{status}) {
		$end = index($conn->{in}, "\r\n\r\n");
		return if $end < 0;
		my ($first, @lines) = split /\r\n/, substr($conn->{in}, 0, $end);
		$request->{status} = (split ' ', $first)[1];
		for my $line (@lines) {
			my ($name, $value) = $line =~ /^([^:]+):\s*(.*)$/ or next;
			$request->{fields}{lc $name} = $value;
		}
		substr($conn->{in}, 0, $end + 4) = '';
	}
	if (($request->{fields}{'transfer-encoding'} || '') eq 'chunked') {
		while ($conn->{in} =~ /^([0-9a-fA-F]+)\r\n/) {
			my $size = hex $1;
			my $head = length($1) + 2;

			last if length($conn->{in}) < $head + $size + 2;
			$request->{body} .= substr($conn->{in}, $head, $size);
			substr($conn->{in}, 0, $head + $size + 2) = '';
			if (!$size) {
				client_end($request, 'whole');
				return;
			}
		}
		return;
	}
	if (length($conn->{in}) >= ($request->{fields}{'content-length'} || 0)) {
		$request->{body} = $conn->{in};
		client_end($request, 'whole');
	}
}

# Asks the edge for readiness; sets is_ready.
sub check_ready {
	my ($edge) = @_;
	my $request;

	$edge->{is_ready} = 0;
	$request = request($edge->{ready}, 'GET', '/readyz', '', '', sub {
		$edge->{is_ready} = $_[0]{status} == 200;
	});
	run(500, sub { defined $request->{end} });
	return $edge->{is_ready};
}

sub wait_ready {
	my (@list) = @_;

	for my $edge (@list) {
		my $end = now() + 8000;

		until (check_ready($edge)) {
			finish(2, "$edge->{name} is not ready") if now() > $end;
			run(100);
		}
	}
}

# Workers

my $next_worker = 0;

# A worker; script gets worker, connection and message of each request that the
# worker runs, and answers it.
sub worker_new {
	my ($service, $zone, $script, %more) = @_;
	my $worker = {
		id => sprintf('i-%x-%04d', $$, ++$next_worker), service => $service,
		zone => $zone, script => $script, state => 'ready', sequence => 0,
		slots => 6, born => int(1000 * time()), arrivals => [], streams => {},
		fence => 0, %more,
	};

	worker_listen($worker);
	worker_publish($worker);
	return $worker;
}

sub worker_listen {
	my ($worker) = @_;

	$worker->{server} = serve(
		sub { on_worker_request($worker, @_) },
		sub { on_worker_close($worker, @_) }, $worker->{port});
	$worker->{address} = $worker->{server}{address};
}

sub worker_publish {
	my ($worker) = @_;
	my $spec = {
		service => $worker->{service}, address => $worker->{address},
		zone => $worker->{zone}, version => 'v1',
		slots => $worker->{slots}, state => $worker->{state},
		'cold-left-ms' => 0, sequence => 1, born => $worker->{born},
	};

	if ($worker->{type}) {
		$spec->{type} = $worker->{type};
		$spec->{phase} = 'colocated';
		$spec->{models} = [{name => 'm0', version => 1, adapters => []}];
		$spec->{layers} = {from => $worker->{from}, to => $worker->{to},
			version => 1};
	}
	put('servers', $worker->{id}, $spec);
}

# The process ends: its connections are reset, and so are new ones.
sub worker_end {
	my ($worker) = @_;

	$worker->{has_ended} = 1;
	$worker->{streams} = {};
	end_server($worker->{server});
}

sub leaving_field {
	return $_[0]{is_leaving} ? "Server-Leaving: 1\r\n" : '';
}

sub refuse {
	my ($worker, $conn, $message, $status, $more) = @_;
	my $id = $message->{fields}{lc "$PREFIX-Attempt-Id"} || '';

	answer($conn, $status, "$PREFIX-Attempt-Id: $id\r\n"
		. "$PREFIX-Not-Executed: 1\r\n" . leaving_field($worker)
		. ($more || ''));
}

# The head of a success.
sub head {
	my ($worker, $message) = @_;
	my $id = $message->{fields}{lc "$PREFIX-Attempt-Id"};

	return "$PREFIX-Attempt-Id: $id\r\n$PREFIX-Server-Stamp: s-$worker->{id}"
		. ".$id\r\n" . leaving_field($worker);
}

sub on_order {
	my ($worker, $conn, $order) = @_;

	if (defined $order->{'fencing-token'}) {
		if ($order->{'fencing-token'} < $worker->{fence}) {
			answer_json($conn, 412, {});
			return;
		}
		$worker->{fence} = $order->{'fencing-token'};
	}
	if ($order->{operation} eq 'repath') {
		my $stream = $worker->{streams}{$order->{id}};

		answer_json($conn, $stream ? 202 : 404, {});
		return;
	}
	if (defined $order->{expect} && $order->{expect} != $worker->{sequence}) {
		answer_json($conn, 409, {});
		return;
	}
	$worker->{sequence}++;
	return if $worker->{on_place} && !$worker->{on_place}->($order);
	($worker->{from}, $worker->{to}) = ($order->{from}, $order->{to});
	worker_publish($worker);
	answer_json($conn, 202, {});
}

sub on_worker_request {
	my ($worker, $conn, $message) = @_;
	my ($method, $path) = split ' ', $message->{first};
	my $fields = $message->{fields};
	my $id = $fields->{lc "$PREFIX-Attempt-Id"};
	my $expected = $fields->{lc "$PREFIX-Expect-Instance"};
	my $hops = $fields->{lc "$PREFIX-Hop-Count"};

	if ($path eq '/report') {
		answer($conn, 200, "Content-Type: application/json\r\n"
			. leaving_field($worker), $JSON->encode({
			phase => 'colocated', models => [], busy => JSON::PP::false,
			sequence => $worker->{sequence}, queued => 0, pace => 1,
			'running-count' => scalar keys %{$worker->{streams}},
			'kv-used' => 0, 'kv-total' => 8000000, handles => 0,
			born => $worker->{born}, stalled => [], type => $worker->{type},
			layers => {from => $worker->{from}, to => $worker->{to},
				version => 1}}));
		return;
	}
	if ($path eq '/order') {
		on_order($worker, $conn, $JSON->decode($message->{body}));
		return;
	}
	push @{$worker->{arrivals}}, {id => $id, at => now()};
	record("arrived: " . (defined $id ? $id : "-") . " at $worker->{id}");
	if (!defined $id) {
		refuse($worker, $conn, $message, 400);
	} elsif (defined $expected && $expected ne $worker->{id}) {
		refuse($worker, $conn, $message, 421);
	} elsif ($worker->{type} && !holds_part($worker, $hops)) {
		refuse($worker, $conn, $message, 421,
			"At-Server: $worker->{address}\r\n");
	} else {
		record("run: $id at $worker->{id}");
		$worker->{script}->($worker, $conn, $message);
	}
}

sub holds_part {
	my ($worker, $hops) = @_;

	return 0 if !defined $hops;
	my ($address, $from, $to) = $hops =~ /^([^=]+)=(\d+)-(\d+)/ or return 0;
	return $address eq $worker->{address} && $worker->{from} <= $from
		&& $to <= $worker->{to};
}

sub on_worker_close {
	my ($worker, $conn) = @_;

	for my $id (keys %{$worker->{streams}}) {
		delete $worker->{streams}{$id}
			if $worker->{streams}{$id}{conn} == $conn;
	}
}

# Streams

# Begins a stream of so many events, one each pause in ms; first_ms is the time
# until the head and the first event. on_event, if given, is called before each
# event, and stops the stream by returning false.
sub stream {
	my ($worker, $conn, $message, %how) = @_;
	my $id = $message->{fields}{lc "$PREFIX-Attempt-Id"};
	my $last = $message->{fields}{'last-event-id'} || 0;
	my $stream = {conn => $conn, id => $id, next => $last + 1, %how};

	$worker->{streams}{$id} = $stream;
	after($how{first_ms}, sub {
		return if !is_streaming($worker, $stream);
		return if $how{on_head} && !$how{on_head}->($stream);
		conn_send($conn, "HTTP/1.1 200 OK\r\n" . head($worker, $message)
			. "Content-Type: text/event-stream\r\n"
			. "Transfer-Encoding: chunked\r\n\r\n");
		next_event($worker, $stream);
	});
}

sub is_streaming {
	my ($worker, $stream) = @_;
	my $known = $worker->{streams}{$stream->{id}};

	return $known && $known == $stream && $stream->{conn}{open};
}

sub next_event {
	my ($worker, $stream) = @_;

	return if !is_streaming($worker, $stream);
	return if $stream->{on_event} && !$stream->{on_event}->($stream);
	if ($stream->{next} > $stream->{events}) {
		delete $worker->{streams}{$stream->{id}};
		conn_send($stream->{conn}, "0\r\n\r\n");
		return;
	}
	my $event = "id: $stream->{next}\ndata: $stream->{id}:$stream->{next}\n\n";
	conn_send($stream->{conn},
		sprintf("%x\r\n%s\r\n", length $event, $event));
	$stream->{next}++;
	after($stream->{pause}, sub { next_event($worker, $stream) });
}

# Configuration

sub route {
	my ($prefix, $type, $service, %more) = @_;

	return {
		name => "r$prefix", host => 'shop.example',
		'path-prefix' => $prefix, type => $type, service => $service,
		'timeout-ms' => $type eq 'streaming' ? 20000 : 3000,
		'slo-ms' => $type eq 'streaming' ? 500 : 300, priority => 1,
		'max-attempts' => $type eq 'non_idempotent' ? 1 : 2,
		public => JSON::PP::false, sticky => JSON::PP::false,
		resumable => $type eq 'streaming' ? JSON::PP::true
			: JSON::PP::false, %more,
	};
}

# A model of 80 layers of 1,750 MB, and one kind of cards.
sub engine_service {
	my ($name, $kind, $size_mb) = @_;

	return {name => $name, 'health-path' => '/healthz', 'max-conns' => 978,
		protocol => 'h1', tls => JSON::PP::false, engine => {
			slots => 192, 'kv-capacity' => 100000,
			'kv-bytes' => 590000, 'link-mbps' => 400000.0, stride => 4,
			models => [{name => 'm0', pace => 1.0, 'load-s' => 14.0,
				'warmup-s' => 1.0}],
			step_ms => 1.02, per_seq_ms => 0.00459,
			context_per_k => 0.00615, read_per_s => 164000.0,
			pairs_per_m => 0.199, chunk => 512,
			report_lag_ms => 200.0, loads_at_once => 6, delays => [],
			usual => {prompt => 774, answer => 210}, layers => 80,
			'layer-mb' => 1750.0, 'activation-bytes' => 29500,
			'pipe-mbps' => 19000.0, kinds => [{name => $kind || 'big',
				'size-mb' => $size_mb || 600000.0, pace => 2.4,
				'read-factor' => 3.2}]}};
}

sub plain_service {
	my ($name) = @_;

	return {name => $name, 'health-path' => '/healthz', 'max-conns' => 110,
		protocol => 'h1', tls => JSON::PP::false};
}

sub config {
	my ($version, $routes, $services, $tenants) = @_;

	put('config', 'main', {
		version => $version, routes => $routes, services => $services,
		limits => {'max-header-bytes' => 16384,
			'max-body-bytes' => 4194304, 'header-timeout-ms' => 3000,
			'idle-timeout-ms' => 15000}, tenants => $tenants});
	record("configuration $version is acknowledged");
}

1;
