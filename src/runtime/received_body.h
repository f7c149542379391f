#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include "runtime/body_buffer.h"

namespace foxtail {

/// Body type for Boost.Beast's parser that stores a body in a `BodyBuffer`. A
/// body that there is no room for fails with `not_enough_memory`. Boost.Beast
/// requires the names of its members.
struct ReceivedBody {
  using value_type = BodyBuffer;  // NOLINT

  class reader {  // NOLINT
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           BodyBuffer& body)
        : m_body(body) {}

    void init(const boost::optional<uint64_t>& length,  // NOLINT
              boost::system::error_code& failure) {
      failure = {};
      if (length && !m_body.Announce(*length)) {
        failure = NoRoom();
      }
    }

    template <typename Buffers>
    size_t put(const Buffers& buffers,  // NOLINT
               boost::system::error_code& failure) {
      failure = {};
      size_t bytes = 0;
      const auto end = boost::asio::buffer_sequence_end(buffers);
      for (auto i = boost::asio::buffer_sequence_begin(buffers); i != end;
           ++i) {
        const boost::asio::const_buffer buffer(*i);
        if (!m_body.Append(buffer.data(), buffer.size())) {
          failure = NoRoom();
          return bytes;
        }
        bytes += buffer.size();
      }
      return bytes;
    }

    void finish(boost::system::error_code& failure) {  // NOLINT
      failure = {};
    }

   private:
    static boost::system::error_code NoRoom() {
      return make_error_code(boost::system::errc::not_enough_memory);
    }

    BodyBuffer& m_body;
  };
};

}  // namespace foxtail
