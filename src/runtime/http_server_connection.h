#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <map>
#include <memory>

#include "runtime/cancellation.h"
#include "runtime/fiber_event.h"
#include "runtime/fiber_stream.h"
#include "runtime/http_message.h"
#include "runtime/http_server.h"
#include "runtime/memory_charge.h"
#include "runtime/pipeline_order.h"
#include "runtime/received_body.h"

namespace foxtail {

/// One accepted connection of an `HttpServer`. Requests with safe methods are
/// read ahead and handled beside each other, each on a fiber of its own;
/// responses are sent in the order of the requests.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
 public:
  /// `server` must outlive the connection's fibers. `account_id` is the
  /// connection's in the server's account, if it has one. `on_closed` is called
  /// at the end of the last fiber.
  HttpServerConnection(boost::asio::ip::tcp::socket socket,
                       const HttpServer& server,
                       ResourceAccount::ConnectionId account_id,
                       std::function<void()> on_closed);

  /// Starts the first fiber.
  void Start();

  /// Closes the connection if no request has begun to arrive or is being
  /// answered.
  void CloseIfIdle();

  /// Closes the connection and frees its input and an unfinished request at
  /// once.
  void CloseToMakeRoom();

 private:
  using Parser = boost::beast::http::request_parser<ReceivedBody>;
  using Ticket = PipelineOrder::Ticket;

  /// A request that has been read, or the response to one that cannot be.
  struct Incoming {
    Ticket m_ticket = 0;
    bool m_malformed = false;
    HttpRequest m_request;
    HttpResponse m_error;

    /// What the request takes beside its body, and what its response takes.
    MemoryCharge m_charge;
    MemoryCharge m_response_charge;
  };

  void StartReaderFiber();
  bool ServeNext();
  bool AwaitInput(TimePoint until);
  bool ReadRequest(Incoming& incoming);
  boost::system::error_code Parse(Parser& parser, Incoming& incoming);
  bool ChargeHead(const Parser& parser, Incoming& incoming) const;
  void OnRequestRead(Parser& parser,
                     const boost::system::error_code& failure,
                     Incoming& incoming);
  void ReadAhead();
  HttpResponse Handle(Incoming& incoming);
  bool AwaitTurn(const Incoming& incoming);
  void Answer(const Incoming& incoming, HttpResponse response);
  void DiscardInput();
  boost::system::error_code Write(HttpResponse response, bool keep_alive);
  void UpdatePhase();
  void CountTransferred(size_t bytes);
  bool ReserveInput();
  void ShrinkInput();
  void StartRead();
  void OnReadable(boost::system::error_code failure);
  size_t ReadInput(boost::system::error_code& failure);
  void OnInput(const boost::system::error_code& failure, size_t bytes);
  void CancelAll();
  void Close();

  const HttpServer& m_server;
  std::shared_ptr<ResourceAccount> m_account;
  ResourceAccount::ConnectionId m_account_id;
  std::function<void()> m_on_closed;
  FiberStream m_stream;
  boost::beast::flat_buffer m_buffer;

  /// The buffer's memory beyond that of the first read.
  MemoryCharge m_buffer_charge;

  /// The body of the request that is being parsed; null if none is.
  BodyBuffer* m_body = nullptr;

  /// A read of the socket is pending. One is whenever the buffer has room, to
  /// receive the next request and to detect that the client has disconnected.
  bool m_reading = false;
  boost::system::error_code m_read_failure;

  /// Nothing is read because there is no room for it.
  bool m_input_refused = false;

  /// Bytes of input that are still read and discarded, after the last response.
  size_t m_discard_left = 0;
  FiberEvent m_input_received;

  /// When the oldest unparsed bytes and the newest bytes arrived.
  TimePoint m_oldest_input_at;
  TimePoint m_newest_input_at;

  PipelineOrder m_order;
  FiberEvent m_order_changed;

  /// A fiber waits for the next request or parses it.
  bool m_has_reader = false;
  bool m_parsing = false;
  bool m_sending = false;
  bool m_closed = false;
  size_t m_fibers = 0;

  /// The requests that are not answered yet.
  std::map<Ticket, std::shared_ptr<Cancellation>> m_unanswered;
};

}  // namespace foxtail
