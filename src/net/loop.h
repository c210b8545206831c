// Owning wrappers for libevent handles, and helper functions for connections and their sockets.
#ifndef POSTSPREAD_NET_LOOP_H_
#define POSTSPREAD_NET_LOOP_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "config/address.h"

namespace postspread::net {

using Clock = std::chrono::steady_clock;

template <auto kFree>
struct HandleDeleter {
  template <typename T>
  void operator()(T* handle) const {
    kFree(handle);
  }
};
using EventBase = std::unique_ptr<event_base, HandleDeleter<event_base_free>>;
using EventHandle = std::unique_ptr<event, HandleDeleter<event_free>>;
using BufferEvent = std::unique_ptr<bufferevent, HandleDeleter<bufferevent_free>>;
using Listener = std::unique_ptr<evconnlistener, HandleDeleter<evconnlistener_free>>;

// Event priorities. Due urgent events run before all other due events, and the loop polls for new ones after
// a bounded number of normal callbacks.
inline constexpr int kUrgentPriority = 0;
inline constexpr int kNormalPriority = 1;

// Creates an event loop with the priorities above. Throws std::runtime_error on failure.
EventBase MakeEventBase();

// Calls `open` until it returns true. Returns false if errno is not a resource shortage, or after two
// seconds. The function blocks, so it may only be called before the loop runs.
bool OpenWithRetries(const std::function<bool()>& open);

// A one-shot timer. Each Arm schedules one callback and replaces a callback that is still pending.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> callback);
  void Arm(std::chrono::microseconds after);
  void Disarm();

 private:
  std::function<void()> callback_;
  EventHandle event_;
};

// Returns whether `error`, an errno value, is a temporary resource shortage and not a fault of the
// descriptor.
bool IsResourceShortage(int error);

// Starts to connect, with TCP_NODELAY. Returns null if no socket can be created or there is no route to the
// address.
BufferEvent Dial(event_base* base, const config::Address& address, bufferevent_data_cb on_read,
                 bufferevent_data_cb on_written, bufferevent_event_cb on_event, void* context);

// Takes ownership of a connected socket and sets TCP_NODELAY. Throws std::bad_alloc, and closes the socket
// then.
BufferEvent AdoptSocket(event_base* base, evutil_socket_t fd);

// Makes the connection's events call these member functions of `owner`. kOnEvent receives the libevent flags.
template <auto kOnRead, auto kOnWritten, auto kOnEvent, typename T>
void SetCallbacks(bufferevent* connection, T* owner) {
  bufferevent_setcb(
      connection, [](bufferevent*, void* self) { (static_cast<T*>(self)->*kOnRead)(); },
      [](bufferevent*, void* self) { (static_cast<T*>(self)->*kOnWritten)(); },
      [](bufferevent*, short what, void* self) { (static_cast<T*>(self)->*kOnEvent)(what); }, owner);
}

// Writes immediately as much as the socket accepts, and leaves the rest to the event loop.
void Write(bufferevent* connection, std::string_view bytes);

// Writes what the socket accepts now, without the event loop. Returns the number of bytes, which is 0 if the
// socket accepts none for the moment, or nullopt if the connection is broken.
std::optional<std::size_t> WriteNow(evutil_socket_t fd, std::string_view bytes);

// Returns the number of bytes written to `connection` that its socket has not accepted yet.
std::size_t Unwritten(bufferevent* connection);

// Drops the bytes written to `connection` that its socket has not accepted yet.
void DiscardUnwritten(bufferevent* connection);

// Makes the first `size` bytes of the read buffer contiguous, and returns them with all bytes that follow
// them contiguously. Returns nothing if the buffer holds fewer bytes.
std::string_view Peek(bufferevent* connection, std::size_t size);
// Returns the contiguous bytes at the front of the read buffer.
std::string_view PeekFirst(bufferevent* connection);
// Returns the number of bytes in the read buffer.
std::size_t ReadSize(bufferevent* connection);
// Removes bytes from the front of the read buffer.
void Consume(bufferevent* connection, std::size_t size);
// Bounds a kernel buffer of the socket; `which` is SO_SNDBUF or SO_RCVBUF.
void SetKernelBufferSize(bufferevent* connection, int which, int size);
// Reads up to `max_size` bytes that are available at the socket into the read buffer, without waiting for the
// event loop.
void ReadNow(bufferevent* connection, std::size_t max_size);
// Returns whether the other end has shut down its sending side or the connection has failed, even if bytes
// that arrived earlier are unread.
bool HungUp(bufferevent* connection);
// Returns whether the socket has bytes, an end of stream or an error that the event loop has not read yet.
bool HasUnreadInput(bufferevent* connection);
// Returns the number of bytes that wait at the socket; 0 if the system does not report it.
std::size_t UnreadBytes(bufferevent* connection);
// Returns whether the socket has bytes that the event loop has not read yet.
bool HasUnreadBytes(bufferevent* connection);
// Returns the number of bytes that the socket has accepted and the other end has not acknowledged, including
// our end of the stream; 0 if the system does not report it.
std::size_t Unacknowledged(bufferevent* connection);
// Returns the number of bytes that the socket has accepted and not sent yet; 0 if the system does not report
// it.
std::size_t UnsentBySystem(bufferevent* connection);
// What the close of a socket does with the bytes that the other end has not acknowledged.
enum class OnClose {
  kDeliver,  // the system delivers them after the close
  kReset,    // the system discards them and resets the connection
};
void SetOnClose(bufferevent* connection, OnClose on_close);
// Returns whether the libevent flags `what` report a temporary resource shortage and not the end of the
// connection. No unwritten bytes are lost, but the socket must be watched again, which the system may refuse
// as well.
bool IsTransientError(short what);
// Returns how long ago the last bytes arrived at the socket; 0 if the system does not report it.
std::chrono::milliseconds TimeSinceArrival(bufferevent* connection);
// Returns an upper bound on how long the client's bytes have waited for the connection to be accepted. It is
// valid right after accept; 0 if no bytes have arrived or the system does not report it.
std::chrono::milliseconds MaxAcceptDelay(bufferevent* connection);
// Enables reading, and writing of unwritten bytes. Returns false if the system refused to watch the socket;
// the caller must try again later.
bool Watch(bufferevent* connection);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOOP_H_
