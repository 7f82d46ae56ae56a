/* Makes system calls of one process fail in ways that Linux documents; preloaded into a front under test.
 *
 * FAULTS_FILE names a file of `struct faults`, which the soak test maps and changes while the front runs. Each
 * rate is per 1000 calls. Only calls that the file selects fail; all others pass through unchanged.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_DESCRIPTORS 4096
#define FOLDER_BYTES 256

struct faults {
    int64_t clock_step_ns;                  /* added to the wall clock */
    int32_t accept_rate, accept_errno;
    int32_t socket_rate, socket_errno;
    int32_t connect_rate, connect_errno;
    int32_t short_rate;                     /* short reads and writes of sockets */
    int32_t eintr_rate;
    int32_t break_rate, break_errno;        /* reads on outgoing connections */
    int32_t folder_rate, folder_errno;      /* writes and syncs under `folder` */
    int64_t injected;                       /* calls made to fail so far */
    char folder[FOLDER_BYTES];
};

static struct faults none;
static volatile struct faults *faults = &none;
static unsigned char dialled[MAX_DESCRIPTORS], in_folder[MAX_DESCRIPTORS];
static __thread uint64_t state = 88172645463325252ull;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAULTS_FILE");
    int (*open_)(const char *, int, ...) = dlsym(RTLD_NEXT, "open64");
    int fd = path ? open_(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd >= 0) {
        void *at = mmap(0, sizeof(struct faults), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        if (at != MAP_FAILED)
            faults = at;
        close(fd);
    }
    state ^= (uint64_t)getpid() * 2654435761u;
}

static uint64_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int hit(int32_t rate) {
    if (rate <= 0 || (int32_t)(draw() % 1000) >= rate)
        return 0;
    __sync_fetch_and_add((int64_t *)&faults->injected, 1);
    return 1;
}

#define FAIL(rate, code)                                                                                         \
    do {                                                                                                         \
        if (hit(rate)) {                                                                                         \
            errno = (code);                                                                                      \
            return -1;                                                                                           \
        }                                                                                                        \
    } while (0)

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int known(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS; }

static int is_socket(int fd) {
    struct stat found;
    return fstat(fd, &found) == 0 && S_ISSOCK(found.st_mode);
}

static int under_folder(const char *path) {
    size_t length = strnlen((const char *)faults->folder, FOLDER_BYTES);
    return length && path && strncmp(path, (const char *)faults->folder, length) == 0;
}

/* The wall clock */

static void step(struct timespec *at) {
    int64_t total = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + faults->clock_step_ns;
    at->tv_sec = total / 1000000000;
    at->tv_nsec = total % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int done = REAL(clock_gettime)(clock, at);
    if (done == 0 && clock == CLOCK_REALTIME)
        step(at);
    return done;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at)
        *at = now.tv_sec;
    return now.tv_sec;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

/* Sockets */

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    FAIL(faults->accept_rate, faults->accept_errno);
    FAIL(faults->eintr_rate, EINTR);
    int made = REAL(accept4)(fd, address, length, flags);
    if (known(made))
        dialled[made] = 0;
    return made;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    return accept4(fd, address, length, 0);
}

int socket(int domain, int type, int protocol) {
    FAIL(faults->socket_rate, faults->socket_errno);
    int made = REAL(socket)(domain, type, protocol);
    if (known(made))
        dialled[made] = 0;
    return made;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL(faults->connect_rate, faults->connect_errno);
    FAIL(faults->eintr_rate, EINTR);
    if (known(fd))
        dialled[fd] = 1;
    return REAL(connect)(fd, address, length);
}

static size_t less(size_t size) { return size > 1 && hit(faults->short_rate) ? 1 + draw() % (size - 1) : size; }

static int broken(int fd) { return known(fd) && dialled[fd] && hit(faults->break_rate); }

/* Fails a read, and makes the later close reset the connection. */
static ssize_t break_off(int fd) {
    struct linger reset = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    errno = faults->break_errno;
    return -1;
}

ssize_t read(int fd, void *into, size_t size) {
    if (is_socket(fd)) {
        FAIL(faults->eintr_rate, EINTR);
        if (broken(fd))
            return break_off(fd);
        size = less(size);
    }
    return REAL(read)(fd, into, size);
}

ssize_t recv(int fd, void *into, size_t size, int flags) {
    FAIL(faults->eintr_rate, EINTR);
    if (broken(fd))
        return break_off(fd);
    return REAL(recv)(fd, into, less(size), flags);
}

ssize_t write(int fd, const void *from, size_t size) {
    if (known(fd) && in_folder[fd]) {
        if (faults->folder_errno == ENOSPC && size > 1 && hit(faults->folder_rate))
            return REAL(write)(fd, from, size / 2); /* a full disk takes half of the write */
        FAIL(faults->folder_rate, faults->folder_errno);
    } else if (is_socket(fd)) {
        FAIL(faults->eintr_rate, EINTR);
        size = less(size);
    }
    return REAL(write)(fd, from, size);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    FAIL(faults->eintr_rate, EINTR);
    return REAL(send)(fd, from, less(size), flags);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    if (is_socket(fd)) {
        FAIL(faults->eintr_rate, EINTR);
        if (count > 0 && hit(faults->short_rate))
            return REAL(write)(fd, from[0].iov_base, less(from[0].iov_len));
    }
    return REAL(writev)(fd, from, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    FAIL(faults->eintr_rate, EINTR);
    if (message->msg_iovlen > 0 && message->msg_controllen == 0 && hit(faults->short_rate)) {
        struct msghdr first = *message;
        first.msg_iovlen = 1;
        return REAL(sendmsg)(fd, &first, flags);
    }
    return REAL(sendmsg)(fd, message, flags);
}

/* Files under the folder */

static int opened(int made, const char *path, int flags) {
    if (known(made))
        in_folder[made] = (flags & O_ACCMODE) != O_RDONLY && under_folder(path);
    return made;
}

#define OPEN(name)                                                                                               \
    int name(const char *path, int flags, ...) {                                                                 \
        va_list more;                                                                                            \
        va_start(more, flags);                                                                                   \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, mode_t) : 0;                                  \
        va_end(more);                                                                                            \
        if ((flags & O_CREAT) && under_folder(path))                                                             \
            FAIL(faults->folder_rate, faults->folder_errno);                                                     \
        return opened(REAL(name)(path, flags, mode), path, flags);                                               \
    }

OPEN(open)
OPEN(open64)

int mkdir(const char *path, mode_t mode) {
    if (under_folder(path))
        FAIL(faults->folder_rate, faults->folder_errno);
    return REAL(mkdir)(path, mode);
}

int rename(const char *from, const char *to) {
    if (under_folder(to))
        FAIL(faults->folder_rate, faults->folder_errno);
    return REAL(rename)(from, to);
}

int unlink(const char *path) {
    if (faults->folder_errno == EIO && under_folder(path))
        FAIL(faults->folder_rate, EIO);
    return REAL(unlink)(path);
}

int fsync(int fd) {
    if (known(fd) && in_folder[fd])
        FAIL(faults->folder_rate, faults->folder_errno);
    return REAL(fsync)(fd);
}

int futimens(int fd, const struct timespec times[2]) {
    if (faults->folder_errno == EIO && *faults->folder)
        FAIL(faults->folder_rate, EIO);
    return REAL(futimens)(fd, times);
}
