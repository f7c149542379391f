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
struct IssuedTokensRow {
  double m_stock = 0;
  TimePoint m_refilled_at;

  /// Tokens handed out that may still be used, until when each.
  struct Outstanding {
    DispatcherName m_dispatcher;
    double m_tokens = 0;
    TimePoint m_until;
  };
  std::vector<Outstanding> m_outstanding;
};

/// Hands out the tokens of all workspaces. There is one holder at a time; stock
/// and tokens that are out never exceed a workspace's burst.
class TokenIssuer {
 public:
  /// `token_ttl` is how long a token counts as out, clock drift included.
  explicit TokenIssuer(Duration token_ttl) : m_token_ttl(token_ttl) {}

  /// Begins as a new holder, which does not know what was handed out before.
  void Begin(TimePoint now);

  /// Answers a dispatcher's demand.
  TokenGrant Serve(const TokenLimit& limit,
                   const DispatcherName& dispatcher,
                   const TokenDemand& demand,
                   TimePoint now);

 private:
  IssuedTokensRow& FindOrAddRow(const TokenLimit& limit, TimePoint now);

  Duration m_token_ttl;
  TimePoint m_began_at;
  std::map<std::string, IssuedTokensRow> m_rows;
};

}  // namespace foxtail
