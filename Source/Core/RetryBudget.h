// Token bucket that limits retries to a fraction of the requests, so that
// retries do not multiply the load on a failing service.

#ifndef MIMOSASHUNT_CORE_RETRYBUDGET_H
#define MIMOSASHUNT_CORE_RETRYBUDGET_H

#include <algorithm>

namespace mimosashunt {

class RetryBudget {
public:
  /// Each request adds \p TokensPerRequest, up to \p Capacity tokens in all;
  /// each retry takes one. The bucket starts full.
  RetryBudget(double TokensPerRequest, double Capacity)
      : TokensPerRequest(TokensPerRequest), Capacity(Capacity),
        Tokens(Capacity) {}

  /// Adds the tokens of one request.
  void addRequest() { Tokens = std::min(Capacity, Tokens + TokensPerRequest); }

  /// Takes the token for one retry. Returns false if there is none.
  bool tryTakeRetry() {
    if (Tokens < 1.0)
      return false;
    Tokens -= 1.0;
    return true;
  }

private:
  double TokensPerRequest;
  double Capacity;
  double Tokens; // From zero to Capacity.
};

} // namespace mimosashunt

#endif
