/* Test support: addresses on loopback. */

#include <check.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/runner.h"
#include "support/wire/wire.h"

/* The system has about 28000 ephemeral ports. */
#define N_SOCKETS 100000

/* The port that the system gives a socket bound to port 0. */
static unsigned port_of_a_new_socket(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	ck_assert_int_eq(
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, size), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &size),
			 0);
	close(fd);
	return ntohs(address.sin_port);
}

/* Guards against "address already in use" for a server that a test starts on
 * a reserved address. */
START_TEST(reserved_address_is_not_given_away)
{
	struct wire_loop wire;
	char *address;
	unsigned port;
	unsigned given_away = 0;
	unsigned i;

	wire_open(&wire);
	address = wire_reserve_address(&wire);
	port = (unsigned)strtoul(strchr(address, ':') + 1, NULL, 10);
	for (i = 0; i < N_SOCKETS; i++)
		given_away += port_of_a_new_socket() == port;
	ck_assert_uint_eq(given_away, 0);
	g_free(address);
	wire_close(&wire);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("loopback_wire");

	tcase_add_test(tcase, reserved_address_is_not_given_away);
	return sup_run_case("loopback_wire", tcase);
}
