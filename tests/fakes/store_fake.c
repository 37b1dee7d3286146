/* Fake of the platform's object API: section 1 of docs/interfaces.md. */

#include "server.h"
#include "store.h"

#include <popt.h>

int main(int argc, const char **argv)
{
	static struct store store;
	const struct poptOption options[] = {
		{"write-rate", 0, POPT_ARG_DOUBLE, &store.writes.rate, 0,
		 "writes per second, 0 is unlimited", "N"},
		{"read-rate", 0, POPT_ARG_DOUBLE, &store.reads.rate, 0,
		 "reads, lists and watches per second, 0 is unlimited", "N"},
		POPT_TABLEEND};

	store_init(&store);
	store.server = fk_server_new(argc, argv, options, store_routes, &store);
	return fk_server_run(store.server);
}
