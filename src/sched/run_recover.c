#include "sched/run.h"

void run_recover(struct wf_ctx *ctx, struct run_runs *runs,
		 struct run_request *request, enum err_code error,
		 const char *failed_target)
{
	(void)failed_target;
	run_fail(ctx, runs, request, error, "the stream failed");
}
