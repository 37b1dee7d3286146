#ifndef FORWARD_RECOVERY_H
#define FORWARD_RECOVERY_H

/*
 * rcv: which streams of a lost engine are moved to other engines now, and which
 * wait.
 *
 * Load pattern: the engines are nearly full and several of them are lost. Some
 * hundred streams need another path at the same moment, and each new path
 * prefills all tokens of its stream again. Without a bound every move is
 * ordered again as soon as it is refused, and the prefills delay each other
 * until all callers have left. With plenty of room all streams move at once.
 *
 * Work is measured in tokens to prefill times layers.
 */

#include <wagtailferry/fleet.h>

/* The moves that this instance has ordered. */
struct rcv_moves {
	/* Work of the moves in progress. */
	double ordered;
	unsigned in_progress;
	/* Streams that wait for a move. */
	unsigned waiting;
};

/* State of one stream, 0 when its engines work. */
struct rcv_stream {
	/* It needs a move that has not begun. */
	bool is_waiting;
	/* Its move is in progress, with that work. */
	bool is_moving;
	double ordered;
	/* Moves refused one after another, and the earliest time for the next
	 * one. */
	unsigned refusals;
	clk_ms not_before;
};

/* A stream that waits for a move. */
struct rcv_loss {
	void *owner;
	struct rcv_stream *stream;
	/* Events that its caller would lose. */
	unsigned events;
	/* Tokens of output that are still expected. */
	double remaining;
	/* Work of the move. */
	double work;
};

enum rcv_decision {
	RCV_MOVE,
	/* It was refused a short time ago. */
	RCV_TOO_EARLY,
	/* Neither this stream nor one after it in the order may move before a
	 * move ends or capacity is freed. */
	RCV_NO_BUDGET,
};

/*
 * Work that an instance may have in progress for moves, when the service's
 * engines have free memory for that many tokens times layers and the instances,
 * this one included, share it.
 */
double rcv_limit(double free_token_layers, unsigned instances);

/* Free memory of a service's engines that work and have not just refused a
 * request, in tokens times layers. */
double rcv_free_memory(const struct flt_fleet *fleet, clk_ms now,
		       const char *service, const struct cat_engine *engine);

/* Sorts an array of struct rcv_loss by what the streams have to lose: the
 * number of events, then the least remaining output. */
void rcv_sort(GArray *losses);

enum rcv_decision rcv_decide(const struct rcv_moves *moves,
			     const struct rcv_loss *loss, clk_ms now,
			     double limit);

/* The stream needs a move. */
void rcv_wait(struct rcv_moves *moves, struct rcv_stream *stream);
/* Its move was ordered. One that is already in progress is replaced. */
void rcv_start(struct rcv_moves *moves, struct rcv_stream *stream, double work);
/* No engine took it: it waits, each time twice as long as before. */
void rcv_refuse(struct rcv_moves *moves, struct rcv_stream *stream, clk_ms now);
/* It has an event again, or has ended. */
void rcv_end(struct rcv_moves *moves, struct rcv_stream *stream);

#endif
