/*
 * A stop of an entry host while requests wait in its queue. Clients send
 * requests to it in the first seconds after SIGTERM, over connections that they
 * opened before, to a service whose servers are busy.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define CLIENTS 12
#define SENT_AFTER_STOP_MS 2400
#define SPACING_MS 30
#define DEADLINE_MS 12000
#define LOST_SLACK_MS 200
#define GRACE_MS 6000

static const char configuration[] =
	"{\"version\":3,\"routes\":{\"r-filing\":{\"host\":\"h.example\","
	"\"pathPrefix\":\"/file/\",\"kind\":\"unsafe\",\"timeoutS\":6,"
	"\"sloS\":3,\"priority\":2,\"service\":\"defectbook\",\"attempts\":2,"
	"\"sticky\":false,\"homeRegions\":[]}},\"services\":{\"defectbook\":{"
	"\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\","
	"\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":9.8}},\"limits\":{"
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

static struct rig_server server = {
	.id = "i-defectbook-1",
	.service = "defectbook",
	.zone = "khomas-a",
	.slots = 3,
	.work_ms = 3200,
	.body_bytes = 400,
	.host = 61,
};

/** A client with one request. */
struct client {
	pthread_t thread;
	int number;
	int fd;
	int64_t send_at_ms;
	int64_t sent_ms;
	struct rig_answer answer;
};

static void *send_request_(void *argument)
{
	struct client *client = argument;
	char head[256];

	rig_sleep_ms(client->send_at_ms - rig_now_ms());
	snprintf(head, sizeof(head),
		 "Host: h.example\r\nRequest-Id: request-%02d\r\n"
		 "Deadline-Ms: %d\r\n",
		 client->number, DEADLINE_MS);
	client->sent_ms = rig_now_ms();
	rig_record("client %02d: sends request-%02d", client->number,
		   client->number);
	rig_call_on(client->fd, rig_entry_address(0), "POST", "/file/report",
		    head, "a defect", DEADLINE_MS, 0.0, &client->answer);
	if (client->answer.complete)
		rig_record("client %02d: gets %d after %d ms", client->number,
			   client->answer.status, (int)client->answer.took_ms);
	else
		rig_record("client %02d: the connection ends after %d ms "
			   "without an answer",
			   client->number, (int)client->answer.took_ms);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct client clients[CLIENTS];
	struct rig_answer answer;
	int64_t stop_ms;
	int lost = 0;
	int answered = 0;
	int i;

	(void)argc;
	rig_begin(argv[1]);
	rig_start_deployment(configuration);
	rig_server_start(&server);
	for (i = 0; i < 20; i++) {
		rig_sleep_ms(300);
		rig_call(rig_entry_address(0), "POST", "/file/first",
			 "Host: h.example\r\nRequest-Id: first\r\n"
			 "Deadline-Ms: 12000\r\n",
			 "a defect", DEADLINE_MS, 0.0, &answer);
		if (answer.status == 200)
			break;
	}
	rig_record("a first request: %d", answer.status);
	if (answer.status != 200)
		rig_end(RIG_NOT_RUN);
	for (i = 0; i < CLIENTS; i++)
		clients[i].fd = rig_connect(rig_entry_address(0));
	rig_sleep_ms(500);
	stop_ms = rig_now_ms();
	if (rig_trouble())
		rig_signal(RIG_CONTROLS, SIGTERM);
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i;
		clients[i].send_at_ms =
			stop_ms + SENT_AFTER_STOP_MS + i * SPACING_MS;
		pthread_create(&clients[i].thread, NULL, send_request_,
			       &clients[i]);
	}
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i].thread, NULL);
	if (rig_trouble())
		rig_wait_exit(RIG_CONTROLS);
	for (i = 0; i < CLIENTS; i++) {
		const struct client *client = &clients[i];
		char ran[64];
		bool passed_on;

		answered += client->answer.complete;
		snprintf(ran, sizeof(ran), "request-%02d", i);
		passed_on = rig_server_was_sent(&server, ran);
		/* A request that was passed on may be excused. */
		if (!client->answer.complete && !passed_on &&
		    client->answer.took_ms > LOST_SLACK_MS &&
		    client->sent_ms + client->answer.took_ms <
			    stop_ms + GRACE_MS + 1000) {
			lost++;
			rig_record("request-%02d was read, was never passed on "
				   "and has no answer",
				   i);
		}
	}
	rig_record("%d requests answered, %d lost", answered, lost);
	if (!answered && !rig_trouble())
		rig_end(RIG_NOT_RUN);
	rig_end(lost ? RIG_BROKEN : RIG_HELD);
}
