/* Prints a new CURVE key pair as "SECRET PUBLIC", for settings files. */

#include <stdio.h>
#include <zmq.h>

/* Length of a key in Z85 with its terminating NUL. */
#define KEY_SIZE 41

int main(void)
{
	char public_key[KEY_SIZE];
	char secret_key[KEY_SIZE];

	if (zmq_curve_keypair(public_key, secret_key) != 0) {
		fprintf(stderr, "libzmq offers no CURVE\n");
		return 1;
	}
	printf("%s %s\n", secret_key, public_key);
	return 0;
}
