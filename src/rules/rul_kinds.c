#include "rul_private.h"

/* The tables of line kinds and attributes; docs/rules.md explains them. */

#define IN_LINE(member) true, offsetof(struct rul_line, member)
#define IN_SETTINGS(member) false, offsetof(struct rul_line_settings, member)

const struct rul_attr_info rul_attrs[RUL_N_ATTRS] = {
	[RUL_ATTR_ORG] = {"org", RUL_TYPE_ANY_LIST, IN_LINE(orgs), 0, 0},
	[RUL_ATTR_MODEL] = {"model", RUL_TYPE_ANY_LIST, IN_LINE(names), 0, 0},
	[RUL_ATTR_SERVICE] = {"service", RUL_TYPE_ANY_LIST, IN_LINE(names), 0,
			      0},
	[RUL_ATTR_TO] = {"to", RUL_TYPE_NAME, IN_SETTINGS(policy.target), 0, 0},
	[RUL_ATTR_IN] = {"in", RUL_TYPE_LIST, IN_SETTINGS(policy.data_centers),
			 0, 0},
	[RUL_ATTR_ON] = {"on", RUL_TYPE_LIST, IN_SETTINGS(policy.targets), 0,
			 0},
	[RUL_ATTR_PRIORITY] = {"priority", RUL_TYPE_COUNT,
			       IN_SETTINGS(policy.priority), 0, 9},
	[RUL_ATTR_DEADLINE] = {"deadline", RUL_TYPE_DURATION,
			       IN_SETTINGS(policy.deadline), 1, CLK_HOUR},
	[RUL_ATTR_RATE] = {"rate", RUL_TYPE_RATE, IN_SETTINGS(policy.rate), 1,
			   UINT64_C(1000000000)},
	[RUL_ATTR_TOKEN_RATE] = {"token_rate", RUL_TYPE_TOKEN_RATE,
				 IN_SETTINGS(policy.token_rate), 1,
				 UINT64_C(1000000000)},
	[RUL_ATTR_CONCURRENCY] = {"concurrency", RUL_TYPE_COUNT,
				  IN_SETTINGS(policy.concurrency), 1, 1000000},
	[RUL_ATTR_WEIGHT] = {"weight", RUL_TYPE_COUNT,
			     IN_SETTINGS(policy.weight), 1, 1000},
	[RUL_ATTR_REPEAT] = {"repeat", RUL_TYPE_FLAG, IN_SETTINGS(repeat), 0,
			     0},
	[RUL_ATTR_FENCING] = {"fencing", RUL_TYPE_FLAG, IN_SETTINGS(fencing), 0,
			      0},
	[RUL_ATTR_SENDER] = {"sender", RUL_TYPE_FLAG, IN_SETTINGS(sender), 0,
			     0},
	[RUL_ATTR_VERSION] = {"version", RUL_TYPE_NAME, IN_SETTINGS(version), 0,
			      0},
	[RUL_ATTR_WANTED] = {"wanted", RUL_TYPE_FLAG, IN_SETTINGS(wanted), 0,
			     0},
};

#define BITS_MATCH                                                   \
	(RUL_ATTR_BIT(RUL_ATTR_ORG) | RUL_ATTR_BIT(RUL_ATTR_MODEL) | \
	 RUL_ATTR_BIT(RUL_ATTR_SERVICE))
#define BITS_POLICY \
	(RUL_ATTR_BIT(RUL_ATTR_REPEAT + 1) - RUL_ATTR_BIT(RUL_ATTR_TO))

const struct rul_kind_info rul_kinds[RUL_N_KINDS] = {
	[RUL_ROUTE] = {"route", false, BITS_MATCH | BITS_POLICY,
		       RUL_ATTR_BIT(RUL_ATTR_ORG)},
	[RUL_DENY] = {"deny", false, BITS_MATCH, RUL_ATTR_BIT(RUL_ATTR_ORG)},
	[RUL_TARGET] = {"target", true,
			RUL_ATTR_BIT(RUL_ATTR_FENCING) |
				RUL_ATTR_BIT(RUL_ATTR_SENDER),
			0},
	[RUL_LOAD] = {"load", true,
		      RUL_ATTR_BIT(RUL_ATTR_MODEL) |
			      RUL_ATTR_BIT(RUL_ATTR_VERSION) |
			      RUL_ATTR_BIT(RUL_ATTR_WANTED),
		      RUL_ATTR_BIT(RUL_ATTR_MODEL) |
			      RUL_ATTR_BIT(RUL_ATTR_VERSION)},
};

enum wf_call_kind rul_line_call(const struct rul_line *line)
{
	if (line->attrs & RUL_ATTR_BIT(RUL_ATTR_SERVICE))
		return WF_CALL_SERVICE;
	return WF_CALL_MODEL;
}
