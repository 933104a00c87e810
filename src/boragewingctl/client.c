#include "client.h"

#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#define CONNECT_TIMEOUT_S 3L
#define URL_BYTES 512
#define HEADER_BYTES 256
#define BODY_MAX_BYTES (64 * 1024 * 1024)

static size_t append_body_(char *data, size_t size, size_t count,
			   void *context);
static struct curl_slist *build_headers_(const struct client *client,
					 const char *submission);

enum bw_status client_request(const struct client *client, const char *method,
			      const char *path, const char *submission,
			      const void *body, size_t body_bytes,
			      struct client_response *response)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = build_headers_(client, submission);
	char url[URL_BYTES];
	CURLcode code = CURLE_OUT_OF_MEMORY;

	memset(response, 0, sizeof(*response));
	if (!curl || !headers)
		goto out;
	snprintf(url, sizeof(url), "http://%s%s", client->host, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT, CONNECT_TIMEOUT_S);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, client->timeout_s);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, response->error);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body_);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response->body);
	if (!strcmp(method, "POST")) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)body_bytes);
	}
	code = curl_easy_perform(curl);
	if (code == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &response->status_code);
	else if (!response->error[0])
		snprintf(response->error, sizeof(response->error), "%s",
			 curl_easy_strerror(code));
	bw_buffer_append(&response->body, "", 1);
	if (response->body.size_bytes)
		response->body.size_bytes--;
	response->json = json_loadb((const char *)response->body.data,
				    response->body.size_bytes, 0, NULL);
out:
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return code == CURLE_OK ? BW_OK : BW_EUNAVAILABLE;
}

void client_response_finish(struct client_response *response)
{
	json_decref(response->json);
	bw_buffer_finish(&response->body);
}

static size_t append_body_(char *data, size_t size, size_t count, void *context)
{
	struct bw_buffer *body = context;

	if (body->size_bytes + size * count > BODY_MAX_BYTES ||
	    bw_buffer_append(body, data, size * count) != BW_OK)
		return 0;
	return size * count;
}

static struct curl_slist *build_headers_(const struct client *client,
					 const char *submission)
{
	char text[HEADER_BYTES];
	struct curl_slist *headers = NULL;

	snprintf(text, sizeof(text), "Authorization: Bearer %s", client->token);
	headers = curl_slist_append(headers, text);
	headers = curl_slist_append(headers, "Content-Type: application/yaml");
	headers = curl_slist_append(headers, "Expect:");
	if (!submission)
		return headers;
	snprintf(text, sizeof(text), "Boragewing-Submission: %s", submission);
	return curl_slist_append(headers, text);
}
