#pragma once

#include "messages/sync_messages.h"

namespace foxtail {

// Serialisation of token messages, shared by several codecs. cereal finds these
// functions by argument-dependent lookup.

template <typename Archive>
void serialize(Archive& archive, TokenDemand& m) {  // NOLINT
  archive(m.m_workspace, m.m_spent, m.m_returned, m.m_requested, m.m_waiting,
          m.m_refunded, m.m_share_used, m.m_share_uncharged, m.m_share_stock);
}

template <typename Archive>
void serialize(Archive& archive, TokenGrant& m) {  // NOLINT
  archive(m.m_workspace, m.m_tokens, m.m_denied, m.m_share_charged);
}

}  // namespace foxtail
