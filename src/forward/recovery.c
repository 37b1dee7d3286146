#include "forward/recovery.h"

#include <string.h>

/* Time after the first refusal, in which some streams of an engine end. */
#define MIN_BACKOFF_MS 100
/* Callers leave after 2 s of silence. */
#define MAX_BACKOFF_MS 800
/* Fraction of its share of the free memory that an instance moves at once. The
 * other part is for new requests and for moves of instances that see the loss
 * earlier. */
#define USABLE_FREE_FRACTION 0.5

double rcv_limit(double free_token_layers, unsigned instances)
{
	return USABLE_FREE_FRACTION * free_token_layers / MAX(instances, 1);
}

double rcv_free_memory(const struct flt_fleet *fleet, clk_ms now,
		       const char *service, const struct cat_engine *engine)
{
	const GPtrArray *targets = flt_targets(fleet);
	double sum = 0;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		const struct cat_accelerator *accelerator;
		double left;

		if (now < target->down_until || now < target->full_until ||
		    flt_is_closed(target, now) ||
		    !flt_is_routable(target, now) ||
		    target->holds.first >= target->holds.end ||
		    strcmp(target->service, service) != 0)
			continue;
		accelerator = cat_find_accelerator(engine, target->accelerator);
		if (!accelerator)
			continue;
		left = cat_free_token_layers(engine, accelerator,
					     target->holds.end -
						     target->holds.first) -
		       target->used_token_layers - target->others.token_layers;
		sum += MAX(left, 0);
	}
	return sum;
}

static int compare_losses(const void *a, const void *b)
{
	const struct rcv_loss *one = a;
	const struct rcv_loss *other = b;

	if (one->events != other->events)
		return one->events > other->events ? -1 : 1;
	return (one->remaining > other->remaining) -
	       (one->remaining < other->remaining);
}

void rcv_sort(GArray *losses)
{
	g_array_sort(losses, compare_losses);
}

enum rcv_decision rcv_decide(const struct rcv_moves *moves,
			     const struct rcv_loss *loss, clk_ms now,
			     double limit)
{
	if (now < loss->stream->not_before)
		return RCV_TOO_EARLY;
#ifdef WF_GUARD_OFF_EDGE_MOVE_BUDGET
	return RCV_MOVE;
#endif
	/* One move at a time is always possible, whatever its size. The one of
	 * this stream is replaced. */
	if (moves->in_progress > loss->stream->is_moving &&
	    moves->ordered - loss->stream->ordered + loss->work > limit)
		return RCV_NO_BUDGET;
	return RCV_MOVE;
}

static void end_wait(struct rcv_moves *moves, struct rcv_stream *stream)
{
	moves->waiting -= stream->is_waiting;
	stream->is_waiting = false;
}

static void end_move(struct rcv_moves *moves, struct rcv_stream *stream)
{
	if (!stream->is_moving)
		return;
	stream->is_moving = false;
	moves->in_progress--;
	/* The sum of the differences is not exact. */
	moves->ordered = moves->in_progress
				 ? MAX(moves->ordered - stream->ordered, 0)
				 : 0;
	stream->ordered = 0;
}

void rcv_wait(struct rcv_moves *moves, struct rcv_stream *stream)
{
	moves->waiting += !stream->is_waiting;
	stream->is_waiting = true;
}

void rcv_start(struct rcv_moves *moves, struct rcv_stream *stream, double work)
{
	end_wait(moves, stream);
	end_move(moves, stream);
	stream->is_moving = true;
	stream->ordered = work;
	moves->ordered += work;
	moves->in_progress++;
}

void rcv_refuse(struct rcv_moves *moves, struct rcv_stream *stream, clk_ms now)
{
	clk_ms backoff = MIN_BACKOFF_MS;
	unsigned i;

	for (i = 0; i < stream->refusals && backoff < MAX_BACKOFF_MS; i++)
		backoff *= 2;
	stream->refusals++;
	stream->not_before = now + MIN(backoff, MAX_BACKOFF_MS);
#ifdef WF_GUARD_OFF_EDGE_MOVE_BACKOFF
	stream->not_before = now;
#endif
	end_move(moves, stream);
	rcv_wait(moves, stream);
}

void rcv_end(struct rcv_moves *moves, struct rcv_stream *stream)
{
	end_wait(moves, stream);
	end_move(moves, stream);
	stream->refusals = 0;
	stream->not_before = 0;
}
