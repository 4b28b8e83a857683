#include "net/connection.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

namespace oxbowspread::net {
namespace {
void DisableNagle(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}
bool MakeUnixAddress(const std::string& path, sockaddr_un* address) {
  *address = {};
  address->sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address->sun_path) return false;
  std::memcpy(address->sun_path, path.data(), path.size());
  return true;
}
// libev priorities of prioritized sockets and of reads on established connections. All other watchers have 0.
constexpr int kHighestPriority = EV_MAXPRI, kReadPriority = 1;
bool IsTransient(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }
}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  Address address{};
  address.sin_family = AF_INET;
  unsigned port = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_end != end || port > 65535) return std::nullopt;
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string FormatAddress(const Address& address) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

Connection::Connection(Loop& loop, int fd, Handler& handler, const BufferLimits& limits)
    : loop_(loop), handler_(handler), fd_(fd), in_(limits.receive), out_(limits.send), io_(loop.ref()) {
  DisableNagle(fd);
  io_.set<Connection, &Connection::OnIo>(this);
  UpdateWatcher();
}

std::unique_ptr<Connection> Connection::Open(Loop& loop, const Address& to, Handler& handler,
                                             std::size_t buffer_limit) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return Start(loop, fd, reinterpret_cast<const sockaddr*>(&to), sizeof to, handler, buffer_limit);
}

std::unique_ptr<Connection> Connection::OpenUnix(Loop& loop, const std::string& path, Handler& handler,
                                                 std::size_t buffer_limit) {
  sockaddr_un to{};
  if (!MakeUnixAddress(path, &to)) return nullptr;
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return Start(loop, fd, reinterpret_cast<const sockaddr*>(&to), sizeof to, handler, buffer_limit);
}

std::unique_ptr<Connection> Connection::Start(Loop& loop, int fd, const sockaddr* to, socklen_t size,
                                              Handler& handler, std::size_t buffer_limit) {
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<Connection>(loop, fd, handler, buffer_limit);
  connection->connecting_ = true;
  connection->UpdateWatcher();
  if (connect(fd, to, size) != 0 && errno != EINPROGRESS) {
    connection->broken_ = true;
    connection->io_.feed_event(ev::WRITE);  // reported from the loop like any other failure
  }
  return connection;
}

void Connection::UpdateWatcher() {
  if (fd_ < 0) return;
  const bool reading = !connecting_ && !in_.full();
  const bool writing = connecting_ || !out_.empty();
  const int events = (reading ? ev::READ : 0) | (writing ? ev::WRITE : 0);
  io_.stop();  // libev allows a priority change only while the watcher is stopped
  io_.priority = prioritized_ ? kHighestPriority : connecting_ ? 0 : kReadPriority;
  if (events != 0) io_.start(fd_, events);
}

bool Connection::Send(std::string_view bytes) {
  if (fd_ < 0 || broken_ || send_shutdown_ || !out_.Append(bytes)) return false;
  if (connecting_) return true;
  if (!Flush()) {
    // The handler is notified later from the loop, because the caller has not finished its own operation.
    broken_ = true;
    io_.feed_event(ev::READ);
    return false;
  }
  UpdateWatcher();
  return true;
}

bool Connection::Flush() {
  while (!out_.empty()) {
    const std::string_view front = out_.Front();
    // Without MSG_NOSIGNAL a client that has disconnected would kill the process with SIGPIPE.
    const ssize_t count = send(fd_, front.data(), front.size(), MSG_NOSIGNAL);
    if (count < 0) return IsTransient(errno);
    out_.Consume(static_cast<std::size_t>(count));
  }
  return true;
}

void Connection::OnIo(ev::io&, int events) {
  if (fd_ < 0) return;
  if (broken_) return CloseAndNotify();
  if ((events & ev::WRITE) != 0) OnWritable();
  if (fd_ >= 0 && (events & ev::READ) != 0) OnReadable();
}

void Connection::OnWritable() {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return CloseAndNotify();
    connecting_ = false;
    UpdateWatcher();
    handler_.OnConnected();
    if (fd_ < 0 || broken_) return;
  }
  if (!Flush()) return CloseAndNotify();
  UpdateWatcher();
}

void Connection::OnReadable() {
  if (send_shutdown_) return OnReadableAfterShutdown();
  bool at_end = false;
  while (!at_end) {
    const std::span<char> space = in_.WritableSpan();
    if (space.empty()) break;
    const ssize_t count = recv(fd_, space.data(), space.size(), 0);
    if (count < 0 && IsTransient(errno)) break;
    at_end = count <= 0;
    if (count > 0) in_.Commit(static_cast<std::size_t>(count));
    if (count > 0 && static_cast<std::size_t>(count) < space.size()) break;
  }
  if (!in_.empty()) handler_.OnBytes(in_);
  if (fd_ < 0) return;
  if (at_end) return CloseAndNotify();
  if (!send_shutdown_) UpdateWatcher();
}

// Checks whether the peer has closed its direction too. Bytes that it sent before it received the shutdown
// are not read. While there are any, the end of the stream can't be detected, so the watcher is stopped.
void Connection::OnReadableAfterShutdown() {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return io_.stop();
  if (count == 0 || !IsTransient(errno)) CloseAndNotify();
}

void Connection::ReadNow() {
  if (fd_ < 0 || connecting_) return;
  if (broken_) return CloseAndNotify();
  OnReadable();
}

bool Connection::ShutdownSending() {
  if (fd_ < 0 || connecting_ || broken_ || !out_.empty()) return false;
  if (std::exchange(send_shutdown_, true)) return true;
  if (shutdown(fd_, SHUT_WR) != 0) {
    send_shutdown_ = false;
    return false;
  }
  io_.stop();
  io_.start(fd_, ev::READ);
  return true;
}

Connection::HandoverState Connection::handover_state() const {
  return {fd_, in_.Contents(), out_.Contents()};
}

void Connection::Restore(std::string_view received, std::string_view unsent) {
  in_.Append(received);
  Send(unsent);
}

void Connection::Resume() {
  if (send_shutdown_) return;
  if (fd_ >= 0 && !in_.empty()) handler_.OnBytes(in_);
  if (!send_shutdown_) UpdateWatcher();
}

void Connection::Prioritize() {
  prioritized_ = true;
  UpdateWatcher();
}

bool Connection::IsIdle() const {
  char byte = 0;
  return fd_ >= 0 && !broken_ && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && IsTransient(errno);
}

std::size_t Connection::unread_bytes() const {
  int count = 0;
  return fd_ >= 0 && ioctl(fd_, FIONREAD, &count) == 0 ? static_cast<std::size_t>(count) : 0;
}

// The end of the stream can't be read while bytes before it are unread, but poll reports it.
bool Connection::ClosedByPeer() const {
  if (fd_ < 0 || broken_) return true;
  pollfd poll_entry{fd_, POLLRDHUP, 0};
  if (poll(&poll_entry, 1, 0) > 0) return true;
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && !IsTransient(errno));
}

void Connection::CloseAndNotify() {
  if (fd_ < 0) return;
  Close();
  handler_.OnClosed();
}

void Connection::Close() {
  io_.stop();
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

Listener::Listener(Loop& loop, const Address& address, AcceptHandler accept_handler)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      spare_fd_(open("/dev/null", O_RDONLY | O_CLOEXEC)),
      accept_handler_(std::move(accept_handler)),
      io_(loop.ref()) {
  const int enabled = 1;
  // Allows a restarted relay to bind its address again while old connections are still in TIME_WAIT.
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 511) != 0) {
    const int error = errno;
    Close();
    throw std::system_error(error, std::generic_category(), "listen");
  }
  Start();
}

Listener::Listener(Loop& loop, const std::string& path, AcceptHandler accept_handler)
    : fd_(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      spare_fd_(open("/dev/null", O_RDONLY | O_CLOEXEC)),
      accept_handler_(std::move(accept_handler)),
      io_(loop.ref()) {
  sockaddr_un address{};
  const auto fail = [this](int error, const char* what) {
    Close();
    throw std::system_error(error, std::generic_category(), what);
  };
  if (!MakeUnixAddress(path, &address)) fail(ENAMETOOLONG, "control socket");
  const auto* const socket_address = reinterpret_cast<const sockaddr*>(&address);
  struct stat existing {};
  if (lstat(path.c_str(), &existing) == 0) {
    if (!S_ISSOCK(existing.st_mode)) fail(EEXIST, "control socket: the path exists and is not a socket");
    const int probe = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool in_use = connect(probe, socket_address, sizeof address) == 0 || errno == EAGAIN;
    close(probe);
    if (in_use) fail(EADDRINUSE, "control socket");
    unlink(path.c_str());
  }
  const mode_t previous_umask = umask(0177);
  const bool bound = bind(fd_, socket_address, sizeof address) == 0;
  const int error = errno;
  umask(previous_umask);
  if (!bound) fail(error, "control socket");
  path_ = path;
  if (listen(fd_, 64) != 0) fail(errno, "control socket");
  Start();
}

void Listener::CheckListening(int fd) {
  int is_listening = 0;
  socklen_t size = sizeof is_listening;
  const bool is_socket = getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) == 0;
  if (!is_socket || is_listening == 0) {
    throw std::system_error(is_socket ? EINVAL : errno, std::generic_category(), "no listening socket");
  }
}

Listener::Listener(Loop& loop, int fd, AcceptHandler accept_handler)
    : fd_(-1), spare_fd_(-1), accept_handler_(std::move(accept_handler)), io_(loop.ref()) {
  CheckListening(fd);
  // Uses a duplicate: the original descriptor stays open for the next process.
  fd_ = fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "listen");
  fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  spare_fd_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
  Start();
}

void Listener::Start() {
  io_.set<Listener, &Listener::OnIo>(this);
  Resume();
}

void Listener::Prioritize() {
  io_.stop();
  io_.priority = kHighestPriority;
  Resume();
}

void Listener::Resume() {
  if (fd_ >= 0 && !io_.is_active()) io_.start(fd_, ev::READ);
}

void Listener::Close() {
  io_.stop();
  if (fd_ >= 0) close(std::exchange(fd_, -1));
  if (spare_fd_ >= 0) close(std::exchange(spare_fd_, -1));
  if (!path_.empty()) unlink(std::exchange(path_, {}).c_str());
}

void Listener::OnIo(ev::io&, int) { AcceptPending(64); }

void Listener::AcceptPending(int max_count) {
  for (int i = 0; i < max_count && io_.is_active(); ++i) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accept_handler_(fd);
      continue;
    }
    if (errno == ECONNABORTED || errno == EINTR) continue;
    if (errno != EMFILE && errno != ENFILE) return;
    // No descriptors are left. A client that is never accepted would wake up the loop again and again, so it
    // is accepted with the spare descriptor and closed.
    close(std::exchange(spare_fd_, -1));
    const int rejected_fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (rejected_fd >= 0) close(rejected_fd);
    spare_fd_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
    return;
  }
}

}  // namespace oxbowspread::net
