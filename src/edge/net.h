#ifndef EDGE_NET_H
#define EDGE_NET_H

#include <uv.h>

#include <wagtailferry/base.h>

/* Reads an IPv4 address with its port. False if the text is none. */
bool net_parse_address(const char *text, struct sockaddr_in *out);

#endif
