#pragma once

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Learns from the end of an attempt how much a backend server can take.
/// Answers the three ways in which a full server fails: it refuses, resets the
/// connection, or does not respond.
class ServerFeedback {
 public:
  ServerFeedback(PermitTables& tables, TimePoint now)
      : m_tables(tables), m_now(now) {}

  /// Applies the return of a permit and ends the permit, or keeps it while the
  /// server may still work on the request.
  void Apply(PermitId id, const PermitReturn& returned);

 private:
  /// What is learned from one kind of end.
  using Lesson = void (ServerFeedback::*)(ScheduledServerRow&,
                                          const PermitRow&,
                                          const PermitReturn&);
  static Lesson FindLesson(PermitEnd end);

  void OnNotUsed(ScheduledServerRow& server,
                 const PermitRow& permit,
                 const PermitReturn& returned);
  void OnResponded(ScheduledServerRow& server,
                   const PermitRow& permit,
                   const PermitReturn& returned);
  void OnServerError(ScheduledServerRow& server,
                     const PermitRow& permit,
                     const PermitReturn& returned);
  void OnRefused(ScheduledServerRow& server,
                 const PermitRow& permit,
                 const PermitReturn& returned);
  void OnMisdirected(ScheduledServerRow& server,
                     const PermitRow& permit,
                     const PermitReturn& returned);
  void OnUnreachable(ScheduledServerRow& server,
                     const PermitRow& permit,
                     const PermitReturn& returned);
  void OnUnanswered(ScheduledServerRow& server,
                    const PermitRow& permit,
                    const PermitReturn& returned);

  void ApplyLoad(ScheduledServerRow& server, const LoadReport& load);
  static Duration MaxPause(const PermitRow& permit);
  static bool HasFreeSlot(const ScheduledServerRow& server,
                          const LoadReport& load);
  void LowerLimit(ScheduledServerRow& server);
  void CloseFor(ScheduledServerRow& server, Duration pause);
  void KeepUnanswered(ScheduledServerRow& server, PermitId id);

  PermitTables& m_tables;
  TimePoint m_now;
};

}  // namespace foxtail
