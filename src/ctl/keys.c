#include <stdio.h>
#include <zmq.h>

#include "ctl/ctl.h"

exit_code_t command_keys(const invocation_t *invocation)
{
	char public_key[CURVE_KEY_SIZE_BYTES], secret_key[CURVE_KEY_SIZE_BYTES];
	json_t *keys;

	if (zmq_curve_keypair(public_key, secret_key)) {
		ctl_error("cannot generate a key pair: %s",
			  zmq_strerror(zmq_errno()));
		return EXIT_FAILED;
	}
	if (!invocation->json) {
		printf("public_key: '%s'\nsecret_key: '%s'\n", public_key,
		       secret_key);
		return EXIT_OK;
	}
	keys = json_pack("{s:s,s:s}", "public_key", public_key, "secret_key",
			 secret_key);
	ctl_print_json(keys);
	json_decref(keys);
	return EXIT_OK;
}
