#pragma once

#include <functional>
#include <memory>

#include "core/error.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Body stream of a backend server that reports if the body breaks off.
class TrackedBodyStream : public BodyStream {
 public:
  using OnBrokenOff = std::function<void(const Error&)>;

  TrackedBodyStream(std::shared_ptr<BodyStream> source,
                    OnBrokenOff on_broken_off)
      : m_source(std::move(source)),
        m_on_broken_off(std::move(on_broken_off)) {}

  void Read(std::string& piece) override {
    try {
      m_source->Read(piece);
    } catch (const Error& failure) {
      m_on_broken_off(failure);
      throw;
    }
  }

 private:
  std::shared_ptr<BodyStream> m_source;
  OnBrokenOff m_on_broken_off;
};

}  // namespace foxtail
