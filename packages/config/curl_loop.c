/* Transfers with a callback at their end, on a transfer_loop_t. Limits the
 * header of their responses. */
#include "cassia/curl_loop.h"

#include "cassia/fault.h"
#include "cassia/transfer_loop.h"

struct curl_loop {
	transfer_loop_t *transfers;
};

static void on_finished(void *private, CURL *easy, CURLcode code)
{
	curl_loop_t *loop = private;
	curl_transfer_t *transfer = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	curl_multi_remove_handle(transfer_loop_multi(loop->transfers), easy);
	transfer->done(transfer->private, code);
}

static const transfer_loop_ops_t transfer_ops = { .finished = on_finished };

curl_loop_t *curl_loop_create(TALLOC_CTX *ctx, struct tevent_context *ev)
{
	curl_loop_t *loop = talloc_zero(ctx, curl_loop_t);

	if (!loop)
		return NULL;
	loop->transfers = transfer_loop_create(loop, ev, &transfer_ops, loop);
	if (!loop->transfers) {
		talloc_free(loop);
		return NULL;
	}
	return loop;
}

/* Header callback of libcurl. A result other than the number of bytes aborts
 * the transfer. */
static size_t count_head_bytes(char *data, size_t size, size_t count,
			       void *private)
{
	curl_transfer_t *transfer = private;

	(void)data;
	transfer->head_bytes += size * count;
	return transfer->head_bytes > CURL_LOOP_HEAD_MAX_BYTES ? 0
							       : size * count;
}

int curl_loop_start(curl_loop_t *loop, curl_transfer_t *transfer)
{
	transfer->head_bytes = 0;
	transfer_loop_prepare(loop->transfers, transfer->easy);
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_HEADERFUNCTION,
			 count_head_bytes);
	curl_easy_setopt(transfer->easy, CURLOPT_HEADERDATA, transfer);
	return curl_multi_add_handle(transfer_loop_multi(loop->transfers),
				     transfer->easy) == CURLM_OK
		       ? 0
		       : CONFIG_EINVAL;
}

void curl_loop_stop(curl_loop_t *loop, curl_transfer_t *transfer)
{
	curl_multi_remove_handle(transfer_loop_multi(loop->transfers),
				 transfer->easy);
}
