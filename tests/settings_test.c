/* The JSON loader and the checks of the settings file. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/schema.h>

#include "support/runner.h"

#define KEY_A "\"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\""
#define KEY_B "\"Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID\""
#define HASH \
	"\"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\""
#define HEAD                                                     \
	"{\"instance\":\"entry-1\",\"data_center\":\"uppsala\"," \
	"\"caller_address\":\"127.0.0.1:0\","                    \
	"\"operator_address\":\"[::1]:8081\","
#define PEER_ADDRESS "\"peer_address\":\"127.0.0.1:8082\","
#define CURVE "\"curve\":{\"secret_key\":" KEY_A ",\"public_key\":" KEY_B "},"
#define TAIL                                   \
	"\"object_api\":[\"127.0.0.1:9000\"]," \
	"\"instance_list\":\"127.0.0.1:9001\"}"
#define WITH(extra) HEAD PEER_ADDRESS CURVE extra TAIL

static const struct {
	const char *text;
	const char *message;
} refused[] = {
	{"", "line 1, column 0"},
	{"[]", "(top): expected an object"},
	{"{\"instance\":", "line 1"},
	{WITH("\"colour\":1,"), "colour: unknown key"},
	{WITH("\"seed\":1,\"seed\":2,"), "duplicate object key"},
	{WITH("\"seed\":\"1\","), "seed: expected an integer"},
	{WITH("\"seed\":1.5,"), "seed: expected an integer"},
	{WITH("\"seed\":-1,"), "seed: -1 is out of range"},
	{WITH("\"seed\":99999999999999999999,"), "too big integer"},
	{WITH("\"body_limit_bytes\":10,"), "body_limit_bytes: 10 is out of"},
	{WITH("\"key_retention_ms\":1,"), "key_retention_ms: 1 is out of"},
	{WITH("\"log\":\"syslog\","), "log: unknown value"},
	{WITH("\"log\":7,"), "log: expected a string"},
	{WITH("\"tls\":{\"key\":\"k\"},"), "tls.certificate: missing"},
	{WITH("\"tls\":{\"key\":\"\"},"), "tls.key: expected the name"},
	{WITH("\"tls\":[],"), "tls: expected an object"},
	{WITH("\"organizations\":{},"), "organizations: expected an array"},
	{WITH("\"organizations\":[{\"id\":\"a\"}],"),
	 "organizations[0].token_sha256: missing"},
	{WITH("\"organizations\":[{\"id\":\"a\",\"token_sha256\":" HASH
	      "},{\"id\":\"b\",\"token_sha256\":" HASH "}],"),
	 "organizations[1]: repeats"},
	{WITH("\"organizations\":[{\"id\":\"a b\"}],"),
	 "organizations[0].id: expected 1 to 128"},
	{WITH("\"organizations\":[{\"id\":\"a\\u0000b\"}],"),
	 "\\u0000 is not allowed"},
	{WITH("\"organizations\":[{\"token_sha256\":\"12\"}],"),
	 "organizations[0].token_sha256: expected a SHA-256"},
	{HEAD CURVE TAIL, "peer_address: missing"},
	{HEAD "\"peer_address\":\"localhost:1\"," CURVE TAIL,
	 "peer_address: expected an address"},
	{HEAD "\"peer_address\":\"127.0.0.1:65536\"," CURVE TAIL,
	 "peer_address: expected an address"},
	{HEAD "\"peer_address\":\"127.0.0.1\"," CURVE TAIL,
	 "peer_address: expected an address"},
	{HEAD "\"peer_address\":\"[::1:80\"," CURVE TAIL,
	 "peer_address: expected an address"},
	{HEAD PEER_ADDRESS "\"curve\":{\"secret_key\":\"ab\"}," TAIL,
	 "curve.secret_key: expected a CURVE key"},
	{HEAD PEER_ADDRESS "\"curve\":{\"secret_key\":" KEY_A
			   ",\"public_key\":" KEY_B
			   ",\"peers\":[{\"id\":\"e\",\"public_key\":" KEY_B
			   "},{\"id\":\"e\",\"public_key\":" KEY_A "}]}," TAIL,
	 "curve.peers[1]: repeats"},
	{HEAD PEER_ADDRESS "\"curve\":{\"secret_key\":" KEY_A
			   ",\"public_key\":" KEY_B
			   ",\"peers\":[{\"id\":\"e\",\"public_key\":" KEY_B
			   "},{\"id\":\"f\",\"public_key\":" KEY_B "}]}," TAIL,
	 "curve.peers[1].public_key: repeats"},
	{HEAD PEER_ADDRESS CURVE
	 "\"object_api\":[],\"instance_list\":\"127.0.0.1:9001\"}",
	 "object_api: number of entries is out of range"},
	{HEAD PEER_ADDRESS CURVE "\"instance_list\":\"127.0.0.1:9001\"}",
	 "object_api: missing"},
	{HEAD PEER_ADDRESS CURVE "\"object_api\":[\"127.0.0.1:1\",7],"
				 "\"instance_list\":\"127.0.0.1:9001\"}",
	 "object_api[1]: expected a string"},
};

/* Guards against invalid settings accepted or reported without their path. */
START_TEST(wrong_settings_are_refused_with_their_path)
{
	const char *text = refused[_i].text;
	GError *error = NULL;

	ck_assert_ptr_null(sch_settings_parse(text, strlen(text), &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_SETTINGS));
	ck_assert_msg(strstr(error->message, refused[_i].message) != NULL,
		      "\"%s\" lacks \"%s\"", error->message,
		      refused[_i].message);
	g_error_free(error);
}
END_TEST

/* Guards against lost values and defaults. */
START_TEST(settings_are_read_with_defaults)
{
	static const char text[] =
		WITH("\"organizations\":[{\"id\":\"a\",\"token_sha256\":" HASH
		     "}],\"log\":\"none\",\"drain_limit_ms\":5,");
	GError *error = NULL;
	Wf__Settings *settings;

	settings = sch_settings_parse(text, strlen(text), &error);
	ck_assert_msg(settings != NULL, "%s", error ? error->message : "");
	ck_assert_str_eq(settings->instance, "entry-1");
	ck_assert_uint_eq(settings->n_organizations, 1);
	ck_assert_str_eq(settings->organizations[0]->id, "a");
	ck_assert_int_eq(settings->log, WF__LOG_DESTINATION__NONE);
	ck_assert_uint_eq(settings->drain_limit_ms, 5);
	ck_assert_uint_eq(settings->key_retention_ms, 24 * CLK_HOUR);
	ck_assert_uint_eq(settings->body_limit_bytes, 1 << 20);
	ck_assert_uint_eq(settings->n_object_api, 1);
	ck_assert_ptr_null(settings->tls);
	sch_settings_free(settings);
}
END_TEST

/* Guards against a crash or a leak on truncated text. */
START_TEST(truncated_settings_are_refused)
{
	static const char text[] = WITH("\"seed\":3,");
	size_t len;

	for (len = 0; len < strlen(text); len++) {
		GError *error = NULL;

		ck_assert_ptr_null(sch_settings_parse(text, len, &error));
		ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_SETTINGS));
		g_error_free(error);
	}
}
END_TEST

/* Guards against an unreadable file reported as wrong settings. */
START_TEST(missing_file_is_an_io_error)
{
	GError *error = NULL;

	ck_assert_ptr_null(sch_settings_read("/nonexistent/s.json", &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_IO));
	g_error_free(error);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("settings");

	tcase_add_loop_test(tcase, wrong_settings_are_refused_with_their_path,
			    0, G_N_ELEMENTS(refused));
	tcase_add_test(tcase, settings_are_read_with_defaults);
	tcase_add_test(tcase, truncated_settings_are_refused);
	tcase_add_test(tcase, missing_file_is_an_io_error);
	return sup_run_case("settings", tcase);
}
