#ifndef WAGTAILFERRY_TESTS_WIRE_RECORDER_H
#define WAGTAILFERRY_TESTS_WIRE_RECORDER_H

/* wire: runs actions on a platform adapter, records the events as text. */

#include "daemon/plat.h"
#include "wire.h"

/* The operation number of all recorded actions. */
#define WIRE_OP UINT64_C(0x0300000000000007)

struct wire_recorder {
	struct plat_sink sink;
	GString *text; /* one line an event */
	unsigned events;
	unsigned awaited;
	struct plat *plat; /* set by the test */
	bool cancel_at_token;
};

void wire_recorder_open(struct wire_recorder *recorder);
void wire_recorder_close(struct wire_recorder *recorder);

/* Runs an action, then the loop until that many events are recorded. */
void wire_record(struct wire_loop *wire, struct wire_recorder *recorder,
		 const struct wf_action *action, const char *operation,
		 unsigned events);

#endif
