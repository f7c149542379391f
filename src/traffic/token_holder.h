#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "messages/sync_messages.h"

namespace foxtail {

/// Rate and burst of a workspace over all hosts together.
struct TokenLimit {
  std::string m_workspace;

  /// Tokens a second, and most tokens in stock and out together.
  double m_rate = 0;
  double m_burst = 0;
};

/// Tokens of a workspace at their one holder.
struct TokenRow {
  double m_level = 0;
  TimePoint m_updated;

  /// Tokens handed out that may still be used, until when each.
  struct Outstanding {
    DispatcherIdentity m_dispatcher;
    double m_tokens = 0;
    TimePoint m_until;
  };
  std::vector<Outstanding> m_outstanding;
};

/// Hands out the tokens of all workspaces. There is one holder at a time; stock
/// and tokens that are out never exceed a workspace's burst.
class TokenHolder {
 public:
  /// `lifetime` is how long a token counts as out, clock drift included.
  explicit TokenHolder(Duration lifetime) : m_token_ttl(lifetime) {}

  /// Begins as a new holder, which does not know what was handed out before.
  void Begin(TimePoint now);

  /// Answers a dispatcher's demand.
  TokenGrant Serve(const TokenLimit& limit,
                   const DispatcherIdentity& dispatcher,
                   const TokenDemand& demand,
                   TimePoint now);

 private:
  TokenRow& RowOf(const TokenLimit& limit, TimePoint now);

  Duration m_token_ttl;
  TimePoint m_began;
  std::map<std::string, TokenRow> m_rows;
};

}  // namespace foxtail
