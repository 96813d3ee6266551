// The accepted connections of one HTTP server. Stands between the sockets and
// the HTTP parser of h2o, which knows no limits but that of a body: measures
// what each connection holds, obeys the budget, refuses requests beyond the
// limits of a client and closes connections whose client does not go on.

#ifndef MIMOSASHUNT_LINKS_SERVERCONNECTIONS_H
#define MIMOSASHUNT_LINKS_SERVERCONNECTIONS_H

#include "Links/ClientLimits.h"
#include "Links/ConnectionBudget.h"
#include "Links/EventLoop.h"
#include "Links/HttpTypes.h"
#include "Links/LingeringSockets.h"
#include "Links/RequestHead.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace mimosashunt {

/// Why a request was refused or a connection closed.
enum class ConnectionLoss {
  HeadTooLarge,     // Refused with status 431.
  BodyTooLarge,     // Refused with status 413.
  NoRoomForBody,    // Refused with status 503.
  NoRoomForRequest, // Refused with status 503.
  ClosedForBytes,   // Gave way to others.
  ClosedForNumber,  // Gave way to others.
  HeadTimedOut,
  IdleTimedOut,
  ResponseNotRead,
  NoDescriptor, // Could not be accepted.
};
inline constexpr size_t ConnectionLossCount = 10;
const char *nameOf(ConnectionLoss Reason);

class ServerConnections {
public:
  using LossCounts = std::array<uint64_t, ConnectionLossCount>;

  /// \p OnEmpty runs whenever the last connection has been closed.
  /// Refusals have \p RefusalHeaders.
  ServerConnections(EventLoop &Loop, ConnectionLimits Budget,
                    const ClientLimits &Limits,
                    std::vector<HttpHeader> RefusalHeaders,
                    std::function<void()> OnEmpty);
  ~ServerConnections();
  ServerConnections(const ServerConnections &) = delete;
  ServerConnections &operator=(const ServerConnections &) = delete;

  /// Applies to what arrives from now on. A body that could not be held is
  /// refused as too large, whatever its limit.
  void setLimits(const ClientLimits &NewLimits);
  const ClientLimits &limits() const { return Limits; }

  /// Counts an accepted socket. Returns false if there is no room; the socket
  /// is then closed.
  bool add(h2o_socket_t *Socket);
  /// Must follow each call outside of this class in which h2o may have begun to
  /// read from the socket or to write to it.
  void follow(h2o_socket_t *Socket);

  /// Counts a whole request, which takes \p Bytes while it is handled. Returns
  /// false if there is no room for that.
  bool beginHandling(h2o_socket_t *Socket, int64_t Bytes);
  /// Counts further bytes for a request that is being handled. Returns false if
  /// there is no room.
  bool reserve(h2o_socket_t *Socket, int64_t Bytes);
  /// Replaces what the request took by its response.
  void beginSending(h2o_socket_t *Socket, int64_t Bytes);
  /// The response of unknown length begins. It may be closed for others, as its
  /// client knows that it is not whole.
  void beginStream(h2o_socket_t *Socket);
  /// The response was sent or the connection is about to be closed.
  void endRequest(h2o_socket_t *Socket);

  /// Counts a connection that could not be accepted.
  void countUnaccepted() { count(ConnectionLoss::NoDescriptor); }
  /// Makes h2o find the end of the input of all connections.
  void endInput();

  /// Headers of a response that refuses a request with this status.
  std::vector<HttpHeader> refusalHeaders(int Status) const;

  size_t size() const { return Connections.size(); }
  int64_t heldBytes() const { return Budget.usedBytes(); }
  const LossCounts &losses() const { return Losses; }

private:
  struct Connection;

  static Connection &of(h2o_socket_t *Socket);
  static void onRead(h2o_socket_t *Socket, const char *Error);
  static void onWritten(h2o_socket_t *Socket, const char *Error);
  static void onClose(void *Closed);

  /// Puts this class's callbacks before those that h2o has set.
  void intercept(Connection &Item);
  /// Brings phase and charge up to date after h2o has worked on the connection,
  /// which it may have closed.
  void update(ConnectionId Id);
  /// Returns the reason to refuse what has arrived of a request, if any.
  std::optional<ConnectionLoss> checkRequest(Connection &Item);
  void setPhase(Connection &Item, ConnectionPhase Phase);
  int64_t heldBytesOf(const Connection &Item) const;
  void charge(Connection &Item);

  void count(ConnectionLoss Reason) { ++Losses[static_cast<size_t>(Reason)]; }
  void closeAll(const std::vector<ConnectionId> &Ids, ConnectionLoss Reason);
  /// Refuses the request that is arriving and ends its connection.
  void refuse(Connection &Item, ConnectionLoss Reason);
  /// Ends a connection whose request is not whole or whose response is not
  /// read.
  void end(Connection &Item);
  /// Measures the kernel's buffers and closes connections whose clients do not
  /// go on.
  void sweep();
  void sweepOne(Connection &Item);

  EventLoop &Loop;
  ConnectionBudget Budget;
  ClientLimits Limits;
  const std::vector<HttpHeader> RefusalHeaders;
  std::function<void()> OnEmpty;
  LingeringSockets Refused;
  std::map<ConnectionId, std::unique_ptr<Connection>> Connections;
  ConnectionId LastId = 0;
  LossCounts Losses{};
  TimerId SweepTimer = 0; // Runs while there are connections.
};

} // namespace mimosashunt

#endif
