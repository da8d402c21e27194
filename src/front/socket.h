/*
 * socket - TCP sockets as bk-front wants them
 */
#ifndef BK_FRONT_SOCKET_H
#define BK_FRONT_SOCKET_H

#include <netinet/in.h>

#include "bk/base/clock.h"

/* No delay for small writes; sent bytes that stay unconfirmed for so long,
 * or an idle peer that does not answer probes, end the connection. */
void FrSocket_Tune(int fd, BkMs dead_after);

/* A listening socket on "ip:port"; -1 with the last message set. */
int FrSocket_Listen(const char *address, int backlog);

/* A socket that is connecting; -1 with the last message set. */
int FrSocket_Connect(const struct sockaddr_in *to, BkMs dead_after);

#endif
