#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/** The command of the deploy file. */
#define PROGRAM "target/src/boragewingd/boragewingd"
#define METRICS_PORT "9464"

#define PROCESSES_MAX 16
#define ARRIVED_MAX 4096
#define CONNECTIONS_MAX 1024
#define PATH_BYTES 512
#define HEAD_BYTES 8192
#define CONTROL_PORT 8544
#define ENTRY_PORT 8548
#define READY_PORT 8542
#define SERVER_PORT 8185
#define INNER_PORT 7540
#define INNER_PORT_END 7555

/** Last bytes of the IP addresses. */
#define CONTROL_HOST 11
#define ENTRY_HOST 31

#define RUN_TIME_MAX_S 115
#define START_TIME_MAX_MS 25000
#define HEARTBEAT_INTERVAL_MS 1500
#define HEARTBEAT_TIMEOUT_MS 1000
#define RECEIVE_BUFFER_BYTES (256 * 1024)
#define READ_INTERVAL_MS 20

/** A process of the project. */
struct process {
	pid_t pid; /**< 0: ended */
	char name[32];
	char settings[PATH_BYTES];
	char ip[RIG_ADDRESS_BYTES];
	int index;
	bool is_control;
};

/** A connection to a backend server. */
struct server_connection {
	struct rig_server *server;
	int fd;
};

/** Slots of a backend server, and the requests that arrived. */
struct slots {
	char arrived[ARRIVED_MAX][64]; /**< request ids */
	uint32_t arrived_count;
	int connections[CONNECTIONS_MAX]; /**< descriptors; -1: closed */
	uint32_t connection_count;
	pthread_mutex_t lock;
	pthread_cond_t freed;
	uint32_t running;
	uint32_t waiting;
};

static struct process processes_[PROCESSES_MAX];
static int process_count_;
static char folder_[PATH_BYTES];
static char work_[PATH_BYTES];
static char prefix_[RIG_ADDRESS_BYTES]; /* first three bytes of the addresses */
static FILE *record_;
static int64_t begin_ms_;
static pthread_mutex_t record_lock_ = PTHREAD_MUTEX_INITIALIZER;
static char control_addresses_[RIG_CONTROLS][RIG_ADDRESS_BYTES];
static char entry_addresses_[8][RIG_ADDRESS_BYTES];

static void stop_all_(void)
{
	int i;

	for (i = 0; i < process_count_; i++) {
		if (processes_[i].pid <= 0)
			continue;
		kill(processes_[i].pid, SIGKILL);
		waitpid(processes_[i].pid, NULL, 0);
		processes_[i].pid = 0;
	}
}

static void on_alarm_(int number)
{
	int i;

	(void)number;
	for (i = 0; i < process_count_; i++) {
		if (processes_[i].pid > 0)
			kill(processes_[i].pid, SIGKILL);
	}
	_exit(RIG_NOT_RUN);
}

static int64_t clock_ms_(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t rig_now_ms(void)
{
	return clock_ms_(CLOCK_MONOTONIC) - begin_ms_;
}

void rig_sleep_ms(int64_t ms)
{
	struct timespec left = { ms / 1000, (ms % 1000) * 1000000 };

	if (ms <= 0)
		return;
	while (nanosleep(&left, &left) && errno == EINTR)
		;
}

void rig_record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock_);
	fprintf(record_, "%8.3f ", (double)rig_now_ms() / 1000.0);
	va_start(arguments, format);
	vfprintf(record_, format, arguments);
	va_end(arguments);
	fputc('\n', record_);
	fflush(record_);
	pthread_mutex_unlock(&record_lock_);
}

bool rig_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void rig_begin(const char *folder)
{
	char path[PATH_BYTES + 32];
	char temporary[] = "/tmp/review-XXXXXX";
	unsigned int seed = (unsigned int)getpid() * 2654435761U;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm_);
	signal(SIGTERM, on_alarm_);
	signal(SIGINT, on_alarm_);
	alarm(RUN_TIME_MAX_S);
	begin_ms_ = clock_ms_(CLOCK_MONOTONIC);
	snprintf(folder_, sizeof(folder_), "%s", folder);
	snprintf(path, sizeof(path), "%s/record.txt", folder_);
	record_ = fopen(path, "w");
	if (!record_ || !mkdtemp(temporary) || access(PROGRAM, X_OK)) {
		fprintf(stderr, "the record, a temporary folder or " PROGRAM
				" is missing\n");
		exit(RIG_NOT_RUN);
	}
	snprintf(work_, sizeof(work_), "%s", temporary);
	snprintf(prefix_, sizeof(prefix_), "127.%u.%u", 20 + seed % 200,
		 (seed >> 9) % 250);
	rig_record("case %s, disruption: %s", folder,
		   rig_trouble() ? "yes" : "no");
	if (getenv("KEEP"))
		fprintf(stderr, "logs: %s\n", work_);
}

void rig_end(int code)
{
	char command[PATH_BYTES + 32];

	rig_record("exit code %d", code);
	stop_all_();
	if (code != RIG_NOT_RUN && !getenv("KEEP")) {
		snprintf(command, sizeof(command), "rm -rf %s", work_);
		if (system(command))
			fprintf(stderr, "%s is left\n", work_);
	}
	exit(code);
}

const char *rig_control_address(int index)
{
	return control_addresses_[index];
}

const char *rig_entry_address(int index)
{
	return entry_addresses_[index];
}

static void write_settings_(const struct process *process, bool bootstrap)
{
	static const char *const zones[] = { "khomas-a", "erongo-a",
					     "oshana-a" };
	static const char *const regions[] = { "khomas", "erongo", "oshana" };
	int place = process->index % 3;
	FILE *file = fopen(process->settings, "w");
	int i;

	if (!file)
		rig_end(RIG_NOT_RUN);
	fprintf(file,
		"node: \"%s\"\nrole: \"%s\"\nclass: \"%s\"\nip: \"%s\"\n"
		"zone: \"%s\"\nregion: \"%s\"\nzones:\n",
		process->name, process->is_control ? "control" : "entry",
		process->is_control ? "core" : "front", process->ip,
		zones[place], regions[place]);
	for (i = 0; i < 3; i++)
		fprintf(file, "  %s: \"%s\"\n", zones[i], regions[i]);
	if (process->is_control)
		fprintf(file,
			"listen:\n  control: \"%s:%d\"\n"
			"  directory: \"%s:%d\"\n",
			process->ip, CONTROL_PORT, process->ip, CONTROL_PORT);
	else
		fprintf(file,
			"listen:\n  front: \"%s:%d\"\n"
			"  readinessAddr: \"%s:%d\"\n",
			process->ip, ENTRY_PORT, process->ip, READY_PORT);
	fprintf(file, "innerPorts:\n  - %d\n  - %d\nseeds:\n", INNER_PORT,
		INNER_PORT_END);
	for (i = 0; i < RIG_CONTROLS; i++)
		fprintf(file, "  - \"%s\"\n", control_addresses_[i]);
	fprintf(file, "bootstrap: %s\ncountsAsLoss: %s\n",
		bootstrap ? "true" : "false",
		process->is_control ? "true" : "false");
	fprintf(file, "limits:\n  cpuShare: 0.2\n  cores: 1\n  memoryMb: 260\n"
		      "  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 256\n");
	if (process->is_control)
		fprintf(file, "dataDir: \"%s/data-%d\"\n", work_,
			process->index);
	else
		fprintf(file, "dataDir: null\n");
	fprintf(file,
		"discovery: \"registration\"\nentry: \"directory\"\n"
		"beatIntervalS: 1.5\n"
		"tolerate:\n  machines: 1\n  zones: 1\n  regions: 1\n"
		"bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n"
		"  settleWindowS: 3\n  ackS: 4\n  catchUpS: 4\n"
		"  drainS: 2.5\n  graceS: 6\n  lostSlackS: 0.2\n"
		"  configApplyS: 2.5\n  rollbackSlackS: 0.25\n"
		"  maxStretchS: 5\n  retryBudgetRatio: 0.2\n"
		"  budgetWindowS: 10\n  budgetExtra: 60\n  coldOver: 1.5\n"
		"  coldSlack: 5\n  evacS: 5\n  recoverS: 15\n"
		"  ttl_max_s: 5\n  shiftMost: 0.15\nconfigMode: \"highest\"\n");
	fclose(file);
}

static void launch_(struct process *process)
{
	char log[PATH_BYTES + 64];
	int fd;

	snprintf(log, sizeof(log), "%s/%s.log", work_, process->name);
	process->pid = fork();
	if (process->pid < 0)
		rig_end(RIG_NOT_RUN);
	if (process->pid)
		return;
	/* Also ends when the rig crashes. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	signal(SIGPIPE, SIG_DFL);
	signal(SIGTERM, SIG_DFL);
	signal(SIGINT, SIG_DFL);
	setenv("BORAGEWING_NODE_FILE", process->settings, 1);
	for (fd = 3; fd < 256; fd++)
		close(fd);
	execl(PROGRAM, PROGRAM, "--gateway", "--metrics-port", METRICS_PORT,
	      (char *)NULL);
	_exit(127);
}

static int start_(int index, bool is_control, bool bootstrap)
{
	struct process *process = &processes_[process_count_];
	char data[PATH_BYTES + 32];

	process->index = index;
	process->is_control = is_control;
	snprintf(process->name, sizeof(process->name), "%s-%d",
		 is_control ? "control" : "entry", index);
	snprintf(process->ip, sizeof(process->ip), "%.15s.%d", prefix_,
		 (is_control ? CONTROL_HOST : ENTRY_HOST) + index);
	snprintf(process->settings, sizeof(process->settings),
		 "%.200s/%.31s.yaml", work_, process->name);
	snprintf(data, sizeof(data), "%s/data-%d", work_, index);
	if (is_control)
		mkdir(data, 0700);
	else
		snprintf(entry_addresses_[index], RIG_ADDRESS_BYTES, "%.15s:%d",
			 process->ip, ENTRY_PORT);
	write_settings_(process, bootstrap);
	launch_(process);
	rig_record("start %s (pid %d)", process->name, (int)process->pid);
	return process_count_++;
}

int rig_start_control(int index, bool bootstrap)
{
	return start_(index, true, bootstrap);
}

int rig_start_entry(int index)
{
	return start_(index, false, true);
}

void rig_signal(int process, int signal_number)
{
	rig_record("signal %s to %s", strsignal(signal_number),
		   processes_[process].name);
	if (processes_[process].pid > 0)
		kill(processes_[process].pid, signal_number);
}

void rig_wait_exit(int process)
{
	int status = 0;

	if (processes_[process].pid <= 0)
		return;
	waitpid(processes_[process].pid, &status, 0);
	processes_[process].pid = 0;
	if (WIFSIGNALED(status))
		rig_record("%s ended by signal %s", processes_[process].name,
			   strsignal(WTERMSIG(status)));
	else
		rig_record("%s ended with %d", processes_[process].name,
			   WEXITSTATUS(status));
}

void rig_restart(int process)
{
	write_settings_(&processes_[process], false);
	launch_(&processes_[process]);
	rig_record("start %s again (pid %d)", processes_[process].name,
		   (int)processes_[process].pid);
}

static bool parse_address_(const char *text, struct sockaddr_in *address)
{
	char ip[RIG_ADDRESS_BYTES];
	const char *colon = strchr(text, ':');

	memset(address, 0, sizeof(*address));
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

int rig_connect(const char *address)
{
	struct sockaddr_in remote;
	int receive_bytes = RECEIVE_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0 || !parse_address_(address, &remote))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		   sizeof(receive_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&remote, sizeof(remote))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all_(int fd, const char *data, size_t size_bytes)
{
	while (size_bytes) {
		ssize_t sent = send(fd, data, size_bytes, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size_bytes -= (size_t)sent;
	}
	return true;
}

/* Returns the value of a header field, or NULL. */
static const char *find_field_(const char *head, const char *name)
{
	const char *line = strstr(head, "\r\n");
	size_t name_bytes = strlen(name);

	while (line && line[2] && line[2] != '\r') {
		line += 2;
		if (!strncasecmp(line, name, name_bytes) &&
		    line[name_bytes] == ':') {
			line += name_bytes + 1;
			while (*line == ' ')
				line++;
			return line;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

static void copy_field_(const char *head, const char *name, char *value,
			size_t value_bytes)
{
	const char *found = find_field_(head, name);
	size_t size_bytes = found ? strcspn(found, "\r\n") : 0;

	if (size_bytes >= value_bytes)
		size_bytes = value_bytes - 1;
	if (size_bytes)
		memcpy(value, found, size_bytes);
	value[size_bytes] = '\0';
}

static bool wait_readable_(int fd, int64_t until_ms)
{
	struct pollfd watched = { .fd = fd, .events = POLLIN };
	int64_t left_ms = until_ms - rig_now_ms();

	return left_ms > 0 && poll(&watched, 1, (int)left_ms) > 0;
}

/* Reads an answer. @param location receives the Location field */
static void read_answer_(int fd, int timeout_ms, double bytes_per_s,
			 struct rig_answer *answer, char *location,
			 size_t location_bytes)
{
	static const size_t chunk_max = 65536;
	char *chunk = malloc(chunk_max);
	char head[HEAD_BYTES + 1] = "";
	size_t head_bytes = 0;
	int64_t began_ms = rig_now_ms();
	int64_t until_ms = began_ms + timeout_ms;
	bool in_body = false;

	memset(answer, 0, sizeof(*answer));
	while (!answer->complete && wait_readable_(fd, until_ms)) {
		size_t wanted = chunk_max;
		const char *data = chunk;
		ssize_t received;
		char *end;

		if (bytes_per_s > 0.0) {
			rig_sleep_ms(READ_INTERVAL_MS);
			wanted = (size_t)(bytes_per_s * READ_INTERVAL_MS /
					  1000.0);
			if (wanted > chunk_max)
				wanted = chunk_max;
		}
		received = recv(fd, chunk, wanted, 0);
		if (received <= 0)
			break;
		if (!in_body) {
			size_t kept = (size_t)received;
			size_t before_bytes = head_bytes;

			if (head_bytes + kept > HEAD_BYTES)
				kept = HEAD_BYTES - head_bytes;
			memcpy(head + head_bytes, chunk, kept);
			head_bytes += kept;
			head[head_bytes] = '\0';
			end = strstr(head, "\r\n\r\n");
			if (!end)
				continue;
			in_body = true;
			sscanf(head, "HTTP/1.1 %d", &answer->status);
			kept = (size_t)(end + 4 - head) - before_bytes;
			data = chunk + kept;
			received -= (ssize_t)kept;
			if (find_field_(head, "Content-Length"))
				answer->expected_bytes = strtoull(
					find_field_(head, "Content-Length"),
					NULL, 10);
			copy_field_(head, "Location", location, location_bytes);
		}
		if (answer->body_bytes < sizeof(answer->body) - 1) {
			size_t room =
				sizeof(answer->body) - 1 - answer->body_bytes;

			memcpy(answer->body + answer->body_bytes, data,
			       (size_t)received < room ? (size_t)received
						       : room);
		}
		answer->body_bytes += (size_t)received;
		answer->complete = answer->body_bytes >= answer->expected_bytes;
	}
	answer->took_ms = rig_now_ms() - began_ms;
	free(chunk);
}

void rig_call_on(int fd, const char *address, const char *method,
		 const char *path, const char *head, const char *body,
		 int timeout_ms, double bytes_per_s, struct rig_answer *answer)
{
	char *text = NULL;
	char location[256] = "";
	int size = asprintf(&text,
			    "%s %s HTTP/1.1\r\n%s%s%s%sContent-Length: %zu"
			    "\r\n\r\n%s",
			    method, path, strstr(head, "Host:") ? "" : "Host: ",
			    strstr(head, "Host:") ? "" : address,
			    strstr(head, "Host:") ? "" : "\r\n", head,
			    strlen(body), body);

	memset(answer, 0, sizeof(*answer));
	if (size > 0 && send_all_(fd, text, (size_t)size))
		read_answer_(fd, timeout_ms, bytes_per_s, answer, location,
			     sizeof(location));
	free(text);
	close(fd);
	if (answer->status == 307 && !strncmp(location, "http://", 7)) {
		char *slash = strchr(location + 7, '/');

		if (!slash)
			return;
		*slash = '\0';
		fd = rig_connect(location + 7);
		if (fd >= 0)
			rig_call_on(fd, location + 7, method, path, head, body,
				    timeout_ms, bytes_per_s, answer);
	}
}

void rig_call(const char *address, const char *method, const char *path,
	      const char *head, const char *body, int timeout_ms,
	      double bytes_per_s, struct rig_answer *answer)
{
	int fd = rig_connect(address);

	memset(answer, 0, sizeof(*answer));
	if (fd >= 0)
		rig_call_on(fd, address, method, path, head, body, timeout_ms,
			    bytes_per_s, answer);
}

void rig_start_deployment(const char *configuration)
{
	char ready[RIG_ADDRESS_BYTES];
	struct rig_answer answer = { 0 };
	int64_t until_ms = rig_now_ms() + START_TIME_MAX_MS;
	int i;

	for (i = 0; i < RIG_CONTROLS; i++)
		snprintf(control_addresses_[i], RIG_ADDRESS_BYTES,
			 "%.15s.%d:%d", prefix_, CONTROL_HOST + i,
			 CONTROL_PORT);
	for (i = 0; i < RIG_CONTROLS; i++)
		rig_start_control(i, true);
	rig_start_entry(0);
	for (i = 0; answer.status != 200 && rig_now_ms() < until_ms; i++) {
		rig_sleep_ms(200);
		rig_call(control_addresses_[i % RIG_CONTROLS], "POST",
			 "/-/config/put", "Content-Type: application/json\r\n",
			 configuration, 1000, 0.0, &answer);
	}
	rig_record("configuration sent: %d", answer.status);
	answer.status = 0;
	snprintf(ready, sizeof(ready), "%.15s.%d:%d", prefix_, ENTRY_HOST,
		 READY_PORT);
	while (answer.status != 200 && rig_now_ms() < until_ms) {
		rig_sleep_ms(100);
		rig_call(ready, "GET", "/-/ready", "", "", 1000, 0.0, &answer);
	}
	rig_record("entry host ready: %d", answer.status);
	if (answer.status != 200)
		rig_end(RIG_NOT_RUN);
}

int rig_heartbeat(const struct rig_server *server, const char *control,
		  const char *state, uint64_t sequence)
{
	char path[256];
	char body[768];
	struct rig_answer answer;

	snprintf(path, sizeof(path), "/-/instances/%s/heartbeat", server->id);
	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
		 "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%u},"
		 "\"status\":{\"state\":\"%s\",\"seq\":%llu,\"coldLeftS\":0}}",
		 server->address, (long long)server->born_ms, server->service,
		 server->zone, server->slots, state,
		 (unsigned long long)sequence);
	rig_call(control, "POST", path, "Content-Type: application/json\r\n",
		 body, HEARTBEAT_TIMEOUT_MS, 0.0, &answer);
	return answer.status;
}

static void *announce_(void *argument)
{
	struct rig_server *server = argument;
	int control = 0;

	for (;;) {
		if (server->announces) {
			uint64_t sequence = ++server->sequence;
			int tries;

			for (tries = 0; tries < RIG_CONTROLS; tries++) {
				if (rig_heartbeat(server,
						  control_addresses_[control],
						  "ready", sequence) == 200)
					break;
				control = (control + 1) % RIG_CONTROLS;
			}
		}
		rig_sleep_ms(HEARTBEAT_INTERVAL_MS);
	}
	return NULL;
}

static void note_arrival_(struct rig_server *server, const char *head)
{
	struct slots *slots = server->state;
	char id[64];

	copy_field_(head, "Request-Id", id, sizeof(id));
	pthread_mutex_lock(&slots->lock);
	if (slots->arrived_count < ARRIVED_MAX)
		memcpy(slots->arrived[slots->arrived_count++], id, sizeof(id));
	pthread_mutex_unlock(&slots->lock);
	rig_record("server %s: gets %s", server->id, id);
}

bool rig_server_was_sent(const struct rig_server *server, const char *id)
{
	struct slots *slots = server->state;
	bool found = false;
	uint32_t i;

	pthread_mutex_lock(&slots->lock);
	for (i = 0; i < slots->arrived_count; i++)
		found = found || !strcmp(slots->arrived[i], id);
	pthread_mutex_unlock(&slots->lock);
	return found;
}

static bool answer_(struct server_connection *connection, const char *head)
{
	struct rig_server *server = connection->server;
	char id[128];
	char expected[128];
	char text[1024];
	char *body;
	bool sent;

	copy_field_(head, "Request-Id", id, sizeof(id));
	copy_field_(head, "Expect-Instance", expected, sizeof(expected));
	if (expected[0] && strcmp(expected, server->id) != 0) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s"
			 "\r\nContent-Length: 0\r\n\r\n",
			 id);
		return send_all_(connection->fd, text, strlen(text));
	}
	rig_record("server %s: runs %s", server->id, id);
	rig_sleep_ms(server->work_ms);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: "
		 "stamp.%s\r\n%sContent-Length: %zu\r\n\r\n",
		 id, server->id, server->leaving ? "Server-Leaving: 1\r\n" : "",
		 server->body_bytes);
	body = malloc(server->body_bytes + 1);
	memset(body, 'x', server->body_bytes);
	sent = send_all_(connection->fd, text, strlen(text)) &&
	       send_all_(connection->fd, body, server->body_bytes);
	free(body);
	rig_record("server %s: %s %s", server->id,
		   sent ? "has answered" : "could not answer", id);
	return sent;
}

static void note_connection_(struct slots *slots, int fd)
{
	pthread_mutex_lock(&slots->lock);
	if (slots->connection_count < CONNECTIONS_MAX)
		slots->connections[slots->connection_count++] = fd;
	pthread_mutex_unlock(&slots->lock);
}

static void forget_connection_(struct slots *slots, int fd)
{
	uint32_t i;

	pthread_mutex_lock(&slots->lock);
	for (i = 0; i < slots->connection_count; i++) {
		if (slots->connections[i] == fd)
			slots->connections[i] = -1;
	}
	pthread_mutex_unlock(&slots->lock);
}

void rig_server_restart(struct rig_server *server, int64_t down_ms)
{
	struct slots *slots = server->state;
	uint32_t i;

	server->announces = false;
	rig_record("server %s: crashes", server->id);
	pthread_mutex_lock(&slots->lock);
	for (i = 0; i < slots->connection_count; i++) {
		if (slots->connections[i] >= 0)
			shutdown(slots->connections[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&slots->lock);
	rig_sleep_ms(down_ms);
	server->born_ms = clock_ms_(CLOCK_REALTIME);
	server->sequence = 0;
	rig_record("server %s: has started again under its id", server->id);
}

static void *serve_(void *argument)
{
	struct server_connection *connection = argument;
	struct slots *slots = connection->server->state;
	char head[HEAD_BYTES + 1];
	size_t size = 0;

	for (;;) {
		char *end;
		const char *length;
		size_t body_bytes;
		ssize_t received;

		head[size] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end) {
			received = recv(connection->fd, head + size,
					HEAD_BYTES - size, 0);
			if (received <= 0)
				break;
			size += (size_t)received;
			continue;
		}
		length = find_field_(head, "Content-Length");
		body_bytes = length ? strtoull(length, NULL, 10) : 0;
		if (size < (size_t)(end + 4 - head) + body_bytes) {
			received = recv(connection->fd, head + size,
					HEAD_BYTES - size, 0);
			if (received <= 0)
				break;
			size += (size_t)received;
			continue;
		}
		note_arrival_(connection->server, head);
		pthread_mutex_lock(&slots->lock);
		slots->waiting++;
		while (slots->running >= connection->server->slots)
			pthread_cond_wait(&slots->freed, &slots->lock);
		slots->waiting--;
		slots->running++;
		pthread_mutex_unlock(&slots->lock);
		received = answer_(connection, head);
		pthread_mutex_lock(&slots->lock);
		slots->running--;
		pthread_cond_signal(&slots->freed);
		pthread_mutex_unlock(&slots->lock);
		if (!received)
			break;
		size = 0;
	}
	forget_connection_(slots, connection->fd);
	close(connection->fd);
	free(connection);
	return NULL;
}

static void *accept_(void *argument)
{
	struct rig_server *server = argument;
	struct sockaddr_in local;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!parse_address_(server->address, &local) ||
	    bind(fd, (struct sockaddr *)&local, sizeof(local)) ||
	    listen(fd, 128)) {
		rig_record("server %s can't listen", server->id);
		rig_end(RIG_NOT_RUN);
	}
	for (;;) {
		struct server_connection *connection;
		pthread_t thread;
		int client = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (client < 0)
			continue;
		setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = malloc(sizeof(*connection));
		connection->server = server;
		connection->fd = client;
		note_connection_(server->state, client);
		pthread_create(&thread, NULL, serve_, connection);
		pthread_detach(thread);
	}
	return NULL;
}

void rig_server_start(struct rig_server *server)
{
	struct slots *slots = calloc(1, sizeof(*slots));
	pthread_t thread;

	pthread_mutex_init(&slots->lock, NULL);
	pthread_cond_init(&slots->freed, NULL);
	server->state = slots;
	server->born_ms = clock_ms_(CLOCK_REALTIME);
	snprintf(server->address, sizeof(server->address), "%.15s.%d:%d",
		 prefix_, server->host, SERVER_PORT);
	server->announces = true;
	pthread_create(&thread, NULL, accept_, server);
	pthread_detach(thread);
	pthread_create(&thread, NULL, announce_, server);
	pthread_detach(thread);
	rig_record("server %s of %s at %s, %u slots", server->id,
		   server->service, server->address, server->slots);
}
