#include "Links/ServerConnections.h"

#include <algorithm>
#include <linux/sockios.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Unavailable = 503;
/// Until a client that was refused for want of room may come again.
constexpr const char *RetryAfterSeconds = "2";
constexpr Duration SweepInterval = milliseconds(250);
/// Announced bodies above are refused under pressure.
constexpr uint64_t MaxSmallBodyBytes = 16 << 10;
/// Input buffers above are given back between two requests.
constexpr size_t MaxKeptInputBytes = 8 << 10;
/// Bytes on the wire for each byte of a body: as many as six for a chunk of one
/// byte, and some for what a client puts beside its chunks.
constexpr size_t MaxWireBytesPerBodyByte = 16;

int statusOf(ConnectionLoss Reason) {
  constexpr int TooLarge = 413;
  constexpr int HeadTooLarge = 431;
  constexpr int Timeout = 408;
  switch (Reason) {
  case ConnectionLoss::HeadTooLarge:
    return HeadTooLarge;
  case ConnectionLoss::BodyTooLarge:
    return TooLarge;
  case ConnectionLoss::HeadTimedOut:
  case ConnectionLoss::IdleTimedOut:
    return Timeout;
  default:
    return Unavailable;
  }
}

std::string refusalText(int Status, const std::vector<HttpHeader> &Headers) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) +
                     " -\r\nconnection: close\r\ncontent-length: 0\r\n";
  for (const HttpHeader &Header : Headers)
    Text += Header.Name + ": " + Header.Value + "\r\n";
  return Text + "\r\n";
}

/// Returns the bytes in one of the kernel's buffers of the socket, 0 if
/// unknown.
int64_t queuedBytes(int Descriptor, unsigned long Queue) {
  int Bytes = 0;
  return ioctl(Descriptor, Queue, &Bytes) == 0 ? Bytes : 0;
}

} // namespace

const char *nameOf(ConnectionLoss Reason) {
  switch (Reason) {
  case ConnectionLoss::HeadTooLarge:
    return "head_too_large";
  case ConnectionLoss::BodyTooLarge:
    return "body_too_large";
  case ConnectionLoss::NoRoomForBody:
    return "no_room_for_body";
  case ConnectionLoss::NoRoomForRequest:
    return "no_room_for_request";
  case ConnectionLoss::ClosedForBytes:
    return "closed_for_bytes";
  case ConnectionLoss::ClosedForNumber:
    return "closed_for_number";
  case ConnectionLoss::HeadTimedOut:
    return "head_timed_out";
  case ConnectionLoss::IdleTimedOut:
    return "idle_timed_out";
  case ConnectionLoss::ResponseNotRead:
    return "response_not_read";
  case ConnectionLoss::NoDescriptor:
    return "no_descriptor";
  }
  return "unknown";
}

struct ServerConnections::Connection {
  ServerConnections *Owner;
  ConnectionId Id;
  h2o_socket_t *Socket;
  // The callbacks of h2o's parser, which those of this class call. Called with
  // an error they close the connection.
  h2o_socket_cb Read = nullptr;
  h2o_socket_cb Written = nullptr; // Null until a stream has been written to.
  ConnectionTiming Timing;
  RequestHead Head;
  size_t WireBytes = 0;      // Of the present request, as they arrived.
  size_t ParsedBytes = 0;    // Of the input that the parser has seen.
  int64_t ReservedBytes = 0; // For the request or its response.
  int64_t ChargedBytes = 0;  // What the budget counts, without the base.
  int64_t KernelBytes = 0;   // In the kernel's buffers at the last sweep.
  int64_t UnsentBytes = 0;   // Of KernelBytes, to be sent.
  bool HasRequest = false;   // A whole one, until its response was sent.
  bool IsStream = false;     // Its response has no end that is known.

  size_t inputBytes() const { return Socket->input->size; }
};

ServerConnections::ServerConnections(EventLoop &Loop, ConnectionLimits Budget,
                                     const ClientLimits &Limits,
                                     std::vector<HttpHeader> RefusalHeaders,
                                     std::function<void()> OnEmpty)
    : Loop(Loop), Budget(Budget), RefusalHeaders(std::move(RefusalHeaders)),
      OnEmpty(std::move(OnEmpty)), Refused(Loop) {
  setLimits(Limits);
}

ServerConnections::~ServerConnections() { Loop.timers().cancel(SweepTimer); }

ServerConnections::Connection &ServerConnections::of(h2o_socket_t *Socket) {
  return *static_cast<Connection *>(Socket->on_close.data);
}

void ServerConnections::setLimits(const ClientLimits &NewLimits) {
  Limits = NewLimits;
  Limits.MaxBodyBytes =
      std::min(Limits.MaxBodyBytes, Budget.largestBodyBytes());
}

std::vector<HttpHeader> ServerConnections::refusalHeaders(int Status) const {
  std::vector<HttpHeader> Result = RefusalHeaders;
  if (Status == Unavailable)
    Result.push_back({"retry-after", RetryAfterSeconds});
  return Result;
}

bool ServerConnections::add(h2o_socket_t *Socket) {
  Instant Now = Loop.timers().now();
  ConnectionId Id = ++LastId;
  std::vector<ConnectionId> Displaced = Budget.open(Id, Now);
  bool HasRoom =
      std::find(Displaced.begin(), Displaced.end(), Id) == Displaced.end();
  if (!HasRoom)
    h2o_socket_close(Socket);
  closeAll(Displaced, ConnectionLoss::ClosedForNumber);
  if (!HasRoom) {
    count(ConnectionLoss::ClosedForNumber);
    return false;
  }
  auto Added = std::make_unique<Connection>();
  Added->Owner = this;
  Added->Id = Id;
  Added->Socket = Socket;
  Added->Timing.Since = Added->Timing.LastProgress = Now;
  Socket->on_close.cb = onClose;
  Socket->on_close.data = Added.get();
  Connections.emplace(Id, std::move(Added));
  if (SweepTimer == 0)
    SweepTimer =
        Loop.timers().scheduleEvery(SweepInterval, [this] { sweep(); });
  return true;
}

void ServerConnections::follow(h2o_socket_t *Socket) { update(of(Socket).Id); }

void ServerConnections::intercept(Connection &Item) {
  // h2o has no public hook between reading and parsing. It sets these callbacks
  // anew whenever it starts to read or to write.
  auto &Callbacks = Item.Socket->_cb;
  if (Callbacks.read != nullptr && Callbacks.read != onRead)
    Item.Read = std::exchange(Callbacks.read, onRead);
  if (Callbacks.write != nullptr && Callbacks.write != onWritten)
    Item.Written = std::exchange(Callbacks.write, onWritten);
}

void ServerConnections::onRead(h2o_socket_t *Socket, const char *Error) {
  Connection &Item = of(Socket);
  ServerConnections &Self = *Item.Owner;
  Self.Loop.refresh();
  if (Error == nullptr) {
    Item.Timing.LastProgress = Self.Loop.timers().now();
    Item.WireBytes += Item.inputBytes() - Item.ParsedBytes;
    if (auto Reason = Self.checkRequest(Item))
      return Self.refuse(Item, *Reason);
  }
  ConnectionId Id = Item.Id;
  Item.Read(Socket, Error);
  Self.update(Id);
}

void ServerConnections::onWritten(h2o_socket_t *Socket, const char *Error) {
  Connection &Item = of(Socket);
  ServerConnections &Self = *Item.Owner;
  ConnectionId Id = Item.Id;
  Item.Written(Socket, Error);
  Self.update(Id);
}

void ServerConnections::onClose(void *Closed) {
  auto *Item = static_cast<Connection *>(Closed);
  ServerConnections &Self = *Item->Owner;
  Self.Budget.close(Item->Id);
  Self.Connections.erase(Item->Id);
  if (!Self.Connections.empty())
    return;
  Self.Loop.timers().cancel(std::exchange(Self.SweepTimer, 0));
  Self.OnEmpty();
}

std::optional<ConnectionLoss>
ServerConnections::checkRequest(Connection &Item) {
  if (Item.inputBytes() == 0)
    return std::nullopt;
  if (Item.Timing.Phase != ConnectionPhase::Receiving)
    setPhase(Item, ConnectionPhase::Receiving);
  bool HadWholeHead = Item.Head.isComplete();
  Item.Head.scan({Item.Socket->input->bytes, Item.inputBytes()});
  Item.Timing.HasWholeHead = Item.Head.isComplete();
  size_t HeadBytes =
      Item.Head.isComplete() ? Item.Head.size() : Item.inputBytes();
  if (HeadBytes > Limits.MaxHeadBytes)
    return ConnectionLoss::HeadTooLarge;
  if (!Item.Head.isComplete())
    return std::nullopt;
  size_t MaxWireBytes =
      Limits.MaxHeadBytes + MaxWireBytesPerBodyByte * Limits.MaxBodyBytes;
  if (Item.Head.contentLength() > Limits.MaxBodyBytes ||
      Item.WireBytes > MaxWireBytes)
    return ConnectionLoss::BodyTooLarge;
  if (!HadWholeHead && Item.Head.contentLength() > MaxSmallBodyBytes &&
      !Budget.admitsLargeBody(Loop.timers().now()))
    return ConnectionLoss::NoRoomForBody;
  return std::nullopt;
}

void ServerConnections::setPhase(Connection &Item, ConnectionPhase Phase) {
  Instant Now = Loop.timers().now();
  Item.Timing.Phase = Phase;
  Item.Timing.Since = Item.Timing.LastProgress = Now;
  Budget.setPhase(Item.Id, Phase, Now);
}

void ServerConnections::update(ConnectionId Id) {
  auto It = Connections.find(Id);
  if (It == Connections.end())
    return;
  Connection &Item = *It->second;
  intercept(Item);
  bool IsWriting = h2o_socket_is_writing(Item.Socket) != 0;
  bool IsReading = h2o_socket_is_reading(Item.Socket) != 0;
  ConnectionPhase Phase = Item.Timing.Phase;
  if (IsWriting || Item.IsStream)
    Phase = ConnectionPhase::Sending;
  else if (Item.HasRequest)
    Phase = ConnectionPhase::Handling;
  else if (IsReading)
    Phase = Item.inputBytes() == 0 ? ConnectionPhase::Idle
                                   : ConnectionPhase::Receiving;
  if (Phase != Item.Timing.Phase)
    setPhase(Item, Phase);
  if (Phase == ConnectionPhase::Idle &&
      Item.Socket->input->capacity > MaxKeptInputBytes) {
    h2o_buffer_dispose(&Item.Socket->input);
    h2o_buffer_init(&Item.Socket->input, &h2o_socket_buffer_prototype);
  }
  // A part of a next request that had arrived with the one before it.
  if (Phase == ConnectionPhase::Receiving && !Item.Head.isComplete())
    if (auto Reason = checkRequest(Item))
      return refuse(Item, *Reason);
  Item.ParsedBytes = Item.inputBytes();
  charge(Item);
}

int64_t ServerConnections::heldBytesOf(const Connection &Item) const {
  const h2o_buffer_t &Input = *Item.Socket->input;
  // Without bytes the capacity is that of a prototype.
  int64_t InputBytes =
      Input.bytes == nullptr ? 0 : static_cast<int64_t>(Input.capacity);
  return InputBytes + Item.ReservedBytes + Item.KernelBytes;
}

void ServerConnections::charge(Connection &Item) {
  int64_t Held = heldBytesOf(Item);
  if (std::exchange(Item.ChargedBytes, Held) == Held)
    return;
  closeAll(Budget.setHeldBytes(Item.Id, Held, Loop.timers().now()),
           ConnectionLoss::ClosedForBytes);
}

bool ServerConnections::beginHandling(h2o_socket_t *Socket, int64_t Bytes) {
  Connection &Item = of(Socket);
  Item.HasRequest = true;
  setPhase(Item, ConnectionPhase::Handling);
  Item.ReservedBytes = 0;
  charge(Item);
  return reserve(Socket, Bytes);
}

bool ServerConnections::reserve(h2o_socket_t *Socket, int64_t Bytes) {
  Connection &Item = of(Socket);
  auto Displaced = Budget.reserve(Item.Id, Bytes, Loop.timers().now());
  if (!Displaced) {
    count(ConnectionLoss::NoRoomForRequest);
    return false;
  }
  Item.ReservedBytes += Bytes;
  Item.ChargedBytes += Bytes;
  closeAll(*Displaced, ConnectionLoss::ClosedForBytes);
  return true;
}

void ServerConnections::beginSending(h2o_socket_t *Socket, int64_t Bytes) {
  of(Socket).ReservedBytes = Bytes;
}

void ServerConnections::beginStream(h2o_socket_t *Socket) {
  Connection &Item = of(Socket);
  Item.IsStream = true;
  Item.ReservedBytes = 0;
  Item.Written = nullptr;
}

void ServerConnections::endRequest(h2o_socket_t *Socket) {
  Connection &Item = of(Socket);
  Item.HasRequest = Item.IsStream = false;
  Item.Head = {};
  Item.Timing.HasWholeHead = false;
  Item.ReservedBytes = 0;
  Item.WireBytes = 0;
  setPhase(Item, ConnectionPhase::Idle);
}

void ServerConnections::closeAll(const std::vector<ConnectionId> &Ids,
                                 ConnectionLoss Reason) {
  for (ConnectionId Id : Ids)
    if (auto It = Connections.find(Id); It != Connections.end())
      refuse(*It->second, Reason);
}

void ServerConnections::refuse(Connection &Item, ConnectionLoss Reason) {
  count(Reason);
  if (Item.Timing.Phase == ConnectionPhase::Receiving) {
    // Nothing else is being sent: the parser reads the next request only after
    // the response to the one before.
    int Status = statusOf(Reason);
    std::string Text = refusalText(Status, refusalHeaders(Status));
    int Descriptor = h2o_socket_get_fd(Item.Socket);
    ssize_t Sent =
        send(Descriptor, Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent == static_cast<ssize_t>(Text.size()))
      Refused.add(Descriptor);
  }
  end(Item);
}

void ServerConnections::end(Connection &Item) {
  h2o_socket_t *Socket = Item.Socket;
  if (h2o_socket_is_reading(Socket) && !h2o_socket_is_writing(Socket)) {
    intercept(Item);
    return Item.Read(Socket, h2o_socket_error_closed);
  }
  // A stream that has nothing to send, after its first write.
  if (Item.IsStream && !h2o_socket_is_writing(Socket) &&
      Item.Written != nullptr)
    return Item.Written(Socket, h2o_socket_error_closed);
  // The write fails, and the parser then closes the connection. What the client
  // has not read is discarded with it.
  int Descriptor = h2o_socket_get_fd(Socket);
  linger Reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  shutdown(Descriptor, SHUT_RDWR);
}

void ServerConnections::endInput() {
  for (const auto &[Id, Item] : Connections)
    shutdown(h2o_socket_get_fd(Item->Socket), SHUT_RD);
}

void ServerConnections::sweep() {
  std::vector<ConnectionId> Ids;
  Ids.reserve(Connections.size());
  for (const auto &[Id, Item] : Connections)
    Ids.push_back(Id);
  for (ConnectionId Id : Ids)
    if (auto It = Connections.find(Id); It != Connections.end())
      sweepOne(*It->second);
}

void ServerConnections::sweepOne(Connection &Item) {
  Instant Now = Loop.timers().now();
  int Descriptor = h2o_socket_get_fd(Item.Socket);
  ConnectionPhase Phase = Item.Timing.Phase;
  Item.KernelBytes = 0;
  // In the other phases all input is read at once and no response waits.
  if (Phase == ConnectionPhase::Handling || Phase == ConnectionPhase::Sending) {
    int64_t Unsent = queuedBytes(Descriptor, SIOCOUTQ);
    if (std::exchange(Item.UnsentBytes, Unsent) != Unsent)
      Item.Timing.LastProgress = Now;
    Item.KernelBytes = queuedBytes(Descriptor, SIOCINQ) + Unsent;
  }
  // A stream that has nothing to send is not late.
  bool IsWaiting = Phase == ConnectionPhase::Sending &&
                   h2o_socket_is_writing(Item.Socket) == 0;
  if (IsWaiting || !isOverdue(Item.Timing, Limits, Now))
    return charge(Item);
  // This process did not run, or not often enough; the client went on.
  bool HasUnreadInput =
      Phase != ConnectionPhase::Sending && queuedBytes(Descriptor, SIOCINQ) > 0;
  if (HasUnreadInput)
    return;
  if (Phase == ConnectionPhase::Sending)
    return refuse(Item, ConnectionLoss::ResponseNotRead);
  bool IsHead =
      Phase == ConnectionPhase::Receiving && !Item.Timing.HasWholeHead;
  refuse(Item,
         IsHead ? ConnectionLoss::HeadTimedOut : ConnectionLoss::IdleTimedOut);
}

} // namespace mimosashunt
