#include <wagtailferry/schema.h>

#include "edge/net.h"

bool net_parse_address(const char *text, struct sockaddr_in *out)
{
	char host[INET6_ADDRSTRLEN];
	uint16_t port;

	return sch_split_address(text, host, sizeof(host), &port) &&
	       !uv_ip4_addr(host, port, out);
}
