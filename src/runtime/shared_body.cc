#include "runtime/shared_body.h"

#include <utility>

namespace foxtail {

SharedBody::SharedBody(std::string text) {
  auto owner = std::make_shared<const std::string>(std::move(text));
  m_view = *owner;
  m_owner = std::move(owner);
}

SharedBody::SharedBody(const char* text) : SharedBody(std::string(text)) {}

SharedBody::SharedBody(BodyBuffer buffer) {
  auto owner = std::make_shared<const BodyBuffer>(std::move(buffer));
  m_view = owner->View();
  m_owner = std::move(owner);
}

}  // namespace foxtail
