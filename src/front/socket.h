/*
 * socket - creates TCP sockets with the options that bk-front needs
 */
#ifndef BK_FRONT_SOCKET_H
#define BK_FRONT_SOCKET_H

#include <netinet/in.h>

#include "bk/base/clock.h"

enum {
    FR_RECEIVE_BUFFER = 32 * 1024 /* bytes that the kernel keeps unread */
};

/* Sets options of a TCP socket: the kernel keeps at most FR_RECEIVE_BUFFER of
 * what was received and not read, small writes are sent without delay, and the
 * connection fails when sent bytes stay unacknowledged for unacked_timeout or
 * when an idle peer does not answer keepalive probes. */
void FrSocket_SetOptions(int fd, BkMs unacked_timeout);

/* Has close() reset the connection, so that data that was not delivered yet is
 * lost. */
void FrSocket_ResetOnClose(int fd);

/* Creates a socket that listens on "ip:port". ERRORS: -1 with BK_EIO as the
 * last error. */
int FrSocket_Listen(const char *address, int backlog);

/* Creates a socket and starts to connect it, without waiting. ERRORS: -1 with
 * BK_EIO as the last error. */
int FrSocket_Connect(const struct sockaddr_in *sockaddr, BkMs unacked_timeout);

#endif
