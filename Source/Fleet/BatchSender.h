// Sends items to one address in batches: at most one request is in flight, and
// two requests are at least a given time apart. What is added meanwhile joins
// the next batch, so the number of requests does not grow with the load.

#ifndef MIMOSASHUNT_FLEET_BATCHSENDER_H
#define MIMOSASHUNT_FLEET_BATCHSENDER_H

#include "Fleet/InternalMessages.h"
#include "Links/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

template <class Item> class BatchSender {
public:
  using Encoder = std::function<std::string(const std::vector<Item> &)>;
  /// Receives the batch and what became of its request.
  using ResultHandler =
      std::function<void(std::vector<Item>, const HttpResult &)>;

  /// \p Path must outlive the sender.
  BatchSender(EventLoop &Loop, HttpClient &Client, SocketAddress Target,
              const char *Path, Duration MinInterval, Encoder Encode,
              ResultHandler OnResult)
      : Loop(Loop), Client(Client), Target(std::move(Target)), Path(Path),
        MinInterval(MinInterval), Encode(std::move(Encode)),
        OnResult(std::move(OnResult)) {}
  ~BatchSender() { *Alive = false; }
  BatchSender(const BatchSender &) = delete;
  BatchSender &operator=(const BatchSender &) = delete;

  void add(Item Added) {
    Pending.push_back(std::move(Added));
    schedule();
  }

  /// Sends a batch even if it is empty.
  void probe() {
    if (!InFlight)
      send();
  }

  /// Removes and returns what has not been sent yet.
  std::vector<Item> takePending() { return std::exchange(Pending, {}); }

private:
  void schedule() {
    if (InFlight || IsScheduled || Pending.empty())
      return;
    IsScheduled = true;
    auto SendIfAlive = [this, StillAlive = Alive] {
      if (!*StillAlive)
        return;
      IsScheduled = false;
      if (!InFlight && !Pending.empty())
        send();
    };
    Instant Due = LastSentAt + MinInterval;
    if (Due <= Loop.timers().now())
      Loop.defer(SendIfAlive);
    else
      Loop.timers().scheduleAt(Due, SendIfAlive);
  }

  void send() {
    /// Longer than a control VM's sync on a healthy disk.
    constexpr Duration RequestTimeout = milliseconds(700);
    InFlight = true;
    LastSentAt = Loop.timers().now();
    auto Batch =
        std::make_shared<std::vector<Item>>(std::exchange(Pending, {}));
    Client.send(Target, internalRequest(Path, Encode(*Batch)), RequestTimeout,
                [this, Batch, StillAlive = Alive](const HttpResult &Result) {
                  if (!*StillAlive)
                    return;
                  InFlight = false;
                  OnResult(std::move(*Batch), Result);
                  if (*StillAlive)
                    schedule();
                });
  }

  EventLoop &Loop;
  HttpClient &Client;
  const SocketAddress Target;
  const char *const Path;
  const Duration MinInterval;
  const Encoder Encode;
  const ResultHandler OnResult;
  std::vector<Item> Pending;
  bool InFlight = false;
  bool IsScheduled = false;
  Instant LastSentAt;
  // Set to false by the destructor; callbacks that may outlive this check it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace mimosashunt

#endif
