#include "runtime/http_server_connection.h"

#include <sys/socket.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <new>
#include <stdexcept>

#include "core/error.h"
#include "runtime/error_response.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using RequestMessage = http::request<ReceivedBody>;

// Most requests fit into one read.
constexpr size_t kReadSize = 4096;  // bytes

// A head is held parsed, as a request, and as what is sent to a server.
constexpr size_t kHeadCopies = 3;

// After the response to a request that was not read whole, the rest of it is
// discarded for this time. A connection that is closed with unread input is
// reset, and the client may lose the response, which tells that the request did
// not run.
constexpr std::chrono::milliseconds kDiscardTime{500};

// What a response takes that is passed on in pieces, beside its first part.
constexpr size_t kStreamBytes = size_t{48} * 1024;

// A request that there was no room for is repeated after this time: there is
// room when bodies have arrived or connections have been closed.
constexpr const char* kOverloadedRetryAfter = "0.5";  // seconds

// Requests with more than one framing, a transfer coding other than "chunked"
// alone, no Host field, or a repeated field that must be single are rejected,
// so that no two hops can disagree on where a request ends.
bool HasAmbiguousFraming(const RequestMessage& message) {
  const auto codings = message.count(http::field::transfer_encoding);
  const auto lengths = message.count(http::field::content_length);
  const bool unsupported_coding =
      codings > 0 && !boost::beast::iequals(
                         message[http::field::transfer_encoding], "chunked");
  return unsupported_coding || codings > 1 || (codings > 0 && lengths > 0) ||
         lengths > 1 || message.count(http::field::host) != 1 ||
         message.count(http::field::authorization) > 1;
}

HttpRequest ToRequest(RequestMessage&& message) {
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto& field : message) {
    request.m_headers.Add(
        std::string_view(field.name_string().data(),
                         field.name_string().size()),
        std::string_view(field.value().data(), field.value().size()));
  }
  if (!message.body().View().empty()) {
    request.m_body = SharedBody(std::move(message.body()));
  }
  return request;
}

template <typename Message>
void SetHead(Message& message, const HttpResponse& response, bool keep_alive) {
  message.version(11);
  message.result(static_cast<unsigned>(response.m_status));
  for (const HttpHeader& field : response.m_headers.All()) {
    message.insert(field.m_name, field.m_value);
  }
  message.keep_alive(keep_alive);
}

ErrorCode ErrorCodeOfReadFailure(const error_code& failure) {
  if (failure == boost::system::errc::not_enough_memory) {
    return ErrorCode::kHostOverloaded;
  }
  if (failure == http::error::header_limit) {
    return ErrorCode::kHeaderTooLarge;
  }
  if (failure == http::error::body_limit ||
      failure == http::error::buffer_overflow) {
    return ErrorCode::kRequestTooLarge;
  }
  return ErrorCode::kRequestMalformed;
}

bool ExpectsContinue(const RequestMessage& message) {
  return beast::iequals(message[http::field::expect], "100-continue");
}

error_code WriteContinue(FiberStream& stream) {
  http::response<http::empty_body> interim(http::status::continue_, 11);
  error_code failure;
  http::write(stream, interim, failure);
  return failure;
}

HttpResponse BuildReadErrorResponse(ErrorCode code) {
  HttpResponse response = ToErrorResponse(Error(code));
  if (code == ErrorCode::kHostOverloaded) {
    response.m_headers.Set("Retry-After", kOverloadedRetryAfter);
  }
  return response;
}

// Returns whether a failure to read a request is answered.
bool IsAnswered(const error_code& failure) {
  static const auto& category =
      http::make_error_code(http::error::bad_method).category();
  return failure == boost::system::errc::not_enough_memory ||
         (failure.category() == category &&
          failure != http::error::end_of_stream &&
          failure != http::error::partial_message);
}

// Boost.Beast throws when a field is longer than 64 KiB, whatever the limit on
// the head is. The exception would end the connection's fiber and leave the
// connection open.
template <typename Parser, typename Buffers>
size_t PutInput(Parser& parser, const Buffers& input, error_code& failure) {
  try {
    return parser.put(input, failure);
  } catch (const std::length_error&) {
    failure = http::make_error_code(http::error::header_limit);
  } catch (const std::bad_alloc&) {
    failure = make_error_code(boost::system::errc::not_enough_memory);
  }
  return 0;
}

size_t CountHeadBytes(const RequestMessage& message) {
  size_t bytes = message.target().size();
  for (const auto& field : message) {
    bytes += field.name_string().size() + field.value().size();
  }
  return bytes;
}

// Safe methods of RFC 9110, 9.2.1. The kind of the route is not known here, and
// no route makes these methods unsafe.
bool IsSafeMethod(http::verb method) {
  return method == http::verb::get || method == http::verb::head ||
         method == http::verb::options || method == http::verb::trace;
}

error_code WriteWhole(FiberStream& stream,
                      HttpResponse response,
                      bool keep_alive) {
  http::response<http::string_body> message;
  SetHead(message, response, keep_alive);
  message.body() = std::move(response.m_body);
  message.prepare_payload();
  error_code failure;
  http::write(stream, message, failure);
  return failure;
}

// Writes a body in pieces, each when the one before has been accepted by the
// client's connection: a slow client slows the server down. `begin_piece` is
// called before each piece. A body that breaks off ends without its last bytes
// or its last chunk.
error_code WriteInPieces(FiberStream& stream,
                         const HttpResponse& response,
                         bool keep_alive,
                         const std::function<void()>& begin_piece) {
  http::response<http::buffer_body> message;
  SetHead(message, response, keep_alive);
  if (response.m_body_length) {
    message.content_length(*response.m_body_length);
  } else {
    message.chunked(true);
  }
  http::response_serializer<http::buffer_body> serializer(message);
  error_code failure;
  http::write_header(stream, serializer, failure);
  std::string piece = response.m_body;
  bool more = true;
  while (!failure && more) {
    begin_piece();
    if (piece.empty()) {
      response.m_body_stream->Read(piece);
    }
    more = !piece.empty();
    message.body().data = more ? piece.data() : nullptr;
    message.body().size = piece.size();
    message.body().more = more;
    http::write(stream, serializer, failure);
    if (failure == http::error::need_buffer) {
      failure = {};
    }
    piece.clear();
  }
  return failure;
}

}  // namespace

HttpServerConnection::HttpServerConnection(
    tcp::socket socket,
    const HttpServer& server,
    ResourceAccount::ConnectionId account_id,
    std::function<void()> on_closed)
    : m_server(server),
      m_account(server.GetAccount()),
      m_account_id(account_id),
      m_on_closed(std::move(on_closed)),
      m_stream(std::move(socket)),
      m_buffer_charge(m_account, account_id),
      m_order(server.GetSettings().m_max_pipelined) {
  m_stream.EnableImmediateWrites();
}

void HttpServerConnection::Start() {
  StartReaderFiber();
}

void HttpServerConnection::CloseIfIdle() {
  error_code ignored;
  const bool has_input =
      m_buffer.size() > 0 || m_stream.GetSocket().available(ignored) > 0;
  if (m_order.IsIdle() && !m_parsing && !has_input) {
    m_order.StopReading();
    Close();
  }
}

void HttpServerConnection::CloseToMakeRoom() {
  Close();
  if (m_body) {
    m_body->Clear();
  }
  m_buffer.clear();
  ShrinkInput();
}

void HttpServerConnection::StartReaderFiber() {
  m_has_reader = true;
  ++m_fibers;
  StartFiber([self = shared_from_this()] {
    while (self->ServeNext()) {
    }
    if (--self->m_fibers == 0) {
      self->Close();
      self->m_on_closed();
    }
  });
}

// Reads a request, handles it and answers it in its turn. Returns whether the
// calling fiber reads the next request too.
bool HttpServerConnection::ServeNext() {
  const HttpServerSettings& settings = m_server.GetSettings();
  Incoming incoming;
  incoming.m_charge = MemoryCharge(m_account, m_account_id);
  incoming.m_response_charge = MemoryCharge(m_account, m_account_id);
  // The idle timeout limits the wait for the first bytes, the read timeout the
  // rest of the request.
  const bool read = AwaitInput(Clock::now() + settings.m_idle_timeout) &&
                    ReadRequest(incoming);
  m_has_reader = false;
  if (!read) {
    m_order.StopReading();
    return false;
  }
  ReadAhead();
  if (AwaitTurn(incoming)) {
    HttpResponse response =
        incoming.m_malformed ? incoming.m_error : Handle(incoming);
    incoming.m_request.m_body = {};
    incoming.m_response_charge.Resize(
        response.m_body.size() + (response.m_body_stream ? kStreamBytes : 0));
    Answer(incoming, std::move(response));
  }
  m_unanswered.erase(incoming.m_ticket);
  UpdatePhase();
  const bool reads_next = !m_closed && !m_has_reader && m_order.CanRead() &&
                          (m_order.IsIdle() || m_buffer.size() > 0);
  m_has_reader = m_has_reader || reads_next;
  return reads_next;
}

// Returns whether there is input to parse.
bool HttpServerConnection::AwaitInput(TimePoint until) {
  StartRead();
  while (m_buffer.size() == 0 && m_reading && !m_closed &&
         Clock::now() < until) {
    m_input_received.WaitUntil(until);
  }
  return m_buffer.size() > 0 && !m_closed;
}

// Returns false if the connection ended or nothing more may be read.
bool HttpServerConnection::ReadRequest(Incoming& incoming) {
  const HttpServerSettings& settings = m_server.GetSettings();
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(settings.m_header_limit));
  parser.body_limit(settings.m_body_limit);
  parser.eager(true);
  m_buffer.max_size(settings.m_header_limit + kReadBufferLimit);
  incoming.m_request.m_arrived_at = m_oldest_input_at;
  parser.get().body() = BodyBuffer(MemoryCharge(m_account, m_account_id));
  m_body = &parser.get().body();
  m_parsing = true;
  UpdatePhase();
  const error_code failure = Parse(parser, incoming);
  m_parsing = false;
  m_body = nullptr;
  m_oldest_input_at = m_newest_input_at;
  ShrinkInput();
  if ((failure && !IsAnswered(failure)) || !m_order.CanRead()) {
    return false;
  }
  OnRequestRead(parser, failure, incoming);
  UpdatePhase();
  return true;
}

error_code HttpServerConnection::Parse(Parser& parser, Incoming& incoming) {
  const error_code no_room =
      make_error_code(boost::system::errc::not_enough_memory);
  const TimePoint until = Clock::now() + m_server.GetSettings().m_read_timeout;
  bool continued = false;
  bool charged = false;
  while (true) {
    error_code failure;
    m_buffer.consume(PutInput(parser, m_buffer.data(), failure));
    if (failure && failure != http::error::need_more) {
      return failure;
    }
    if (parser.is_header_done() && !charged) {
      charged = true;
      if (!ChargeHead(parser, incoming)) {
        return no_room;
      }
    }
    if (parser.is_done()) {
      return {};
    }
    if (parser.is_header_done() && !continued &&
        ExpectsContinue(parser.get())) {
      continued = true;
      m_stream.SetDeadline(until);
      failure = WriteContinue(m_stream);
      if (failure) {
        return failure;
      }
    }
    const size_t size_before = m_buffer.size();
    StartRead();
    while (m_buffer.size() == size_before && m_reading && !m_closed &&
           Clock::now() < until) {
      m_input_received.WaitUntil(until);
    }
    if (m_input_refused) {
      return no_room;
    }
    if (m_buffer.size() == size_before || m_closed) {
      return http::make_error_code(http::error::partial_message);
    }
  }
}

// The first request of a connection is part of the connection's own charge.
bool HttpServerConnection::ChargeHead(const Parser& parser,
                                      Incoming& incoming) const {
  if (!m_account) {
    return true;
  }
  const size_t fiber =
      m_unanswered.empty() ? 0 : m_account->GetSettings().m_request_bytes;
  return incoming.m_charge.TryResize(fiber + kHeadCopies *
                                                 CountHeadBytes(parser.get()));
}

void HttpServerConnection::OnRequestRead(Parser& parser,
                                         const error_code& failure,
                                         Incoming& incoming) {
  if (failure || HasAmbiguousFraming(parser.get())) {
    incoming.m_malformed = true;
    incoming.m_error =
        BuildReadErrorResponse(failure ? ErrorCodeOfReadFailure(failure)
                                       : ErrorCode::kRequestMalformed);
    incoming.m_ticket = m_order.OnRead(true);
    m_order.StopReading();
    return;
  }
  incoming.m_ticket = m_order.OnRead(IsSafeMethod(parser.get().method()));
  if (!parser.get().keep_alive()) {
    m_order.StopReading();
  }
  const TimePoint arrived_at = incoming.m_request.m_arrived_at;
  incoming.m_request = ToRequest(parser.release());
  incoming.m_request.m_arrived_at = arrived_at;
  incoming.m_request.m_cancellation = std::make_shared<Cancellation>();
  m_unanswered[incoming.m_ticket] = incoming.m_request.m_cancellation;
  if (m_read_failure) {
    incoming.m_request.m_cancellation->Cancel();
  }
}

// Lets another fiber read the next request if it has arrived already.
void HttpServerConnection::ReadAhead() {
  if (m_buffer.size() > 0 && m_order.CanRead()) {
    StartReaderFiber();
  } else {
    StartRead();
  }
}

// Returns false if the connection ended before the request could start.
bool HttpServerConnection::AwaitTurn(const Incoming& incoming) {
  while (!m_closed && !m_order.CanStart(incoming.m_ticket)) {
    m_order_changed.WaitUntil(TimePoint::max());
  }
  return !m_closed;
}

HttpResponse HttpServerConnection::Handle(Incoming& incoming) {
  HttpRequest& request = incoming.m_request;
  // The read's completion is handled only after other fibers have run. If the
  // request waited to be read, its client may have left long ago.
  if (m_stream.HasEnded()) {
    request.m_cancellation->Cancel();
  }
  HttpResponse response = HandleCatchingErrors(m_server.GetHandler(), request);
  response.m_drop_connection =
      response.m_drop_connection || request.m_cancellation->IsCancelled();
  return response;
}

// Sends a response when all earlier ones have been sent.
void HttpServerConnection::Answer(const Incoming& incoming,
                                  HttpResponse response) {
  const Ticket ticket = incoming.m_ticket;
  while (!m_closed && !m_order.IsNext(ticket)) {
    m_order_changed.WaitUntil(TimePoint::max());
  }
  if (m_closed) {
    return;
  }
  if (response.m_drop_connection) {
    Close();
    return;
  }
  if (response.m_close_connection || m_server.IsClosingConnections()) {
    m_order.StopReading();
  }
  const bool keep_alive = !m_order.IsLast(ticket);
  m_sending = true;
  UpdatePhase();
  const error_code failure = Write(std::move(response), keep_alive);
  m_sending = false;
  if (!failure && incoming.m_malformed) {
    DiscardInput();
  }
  if (failure || !keep_alive) {
    Close();
    return;
  }
  m_order.OnAnswered(ticket);
  m_order_changed.Notify();
}

// Ends the response and reads what the client still sends, as much as a legal
// body at most.
void HttpServerConnection::DiscardInput() {
  const TimePoint until = Clock::now() + kDiscardTime;
  error_code ignored;
  m_stream.GetSocket().shutdown(tcp::socket::shutdown_send, ignored);
  m_discard_left = m_server.GetSettings().m_body_limit;
  m_buffer.clear();
  ShrinkInput();
  StartRead();
  while (m_reading && m_discard_left > 0 && !m_closed &&
         !m_server.IsClosingConnections() && Clock::now() < until) {
    m_input_received.WaitUntil(until);
  }
}

error_code HttpServerConnection::Write(HttpResponse response, bool keep_alive) {
  const auto begin_piece = [this] {
    m_stream.SetDeadline(Clock::now() + m_server.GetSettings().m_read_timeout);
    CountTransferred(kReadSize);
  };
  begin_piece();
  if (!response.m_body_stream) {
    return WriteWhole(m_stream, std::move(response), keep_alive);
  }
  try {
    return WriteInPieces(m_stream, response, keep_alive, begin_piece);
  } catch (const Error&) {
    // The source of the body has logged why it broke off. The client sees that
    // from the connection, which ends early.
    m_stream.Abort();
    return http::make_error_code(http::error::partial_message);
  }
}

void HttpServerConnection::UpdatePhase() {
  if (!m_account) {
    return;
  }
  ConnectionPhase phase = ConnectionPhase::kIdle;
  if (m_sending) {
    phase = ConnectionPhase::kSending;
  } else if (!m_unanswered.empty()) {
    phase = ConnectionPhase::kServing;
  } else if (m_parsing) {
    phase = ConnectionPhase::kReceiving;
  }
  m_account->SetPhase(m_account_id, phase, Clock::now());
}

void HttpServerConnection::CountTransferred(size_t bytes) {
  if (m_account) {
    m_account->OnTransferred(m_account_id, bytes, Clock::now());
  }
}

// Returns whether the buffer has room for another read, or may grow for it. The
// sizes are those by which the buffer grows.
bool HttpServerConnection::ReserveInput() {
  const size_t size = m_buffer.size();
  if (size + kReadSize <= m_buffer.capacity()) {
    return true;
  }
  const size_t grown =
      std::min(std::max(2 * size, size + kReadSize), m_buffer.max_size());
  return m_buffer_charge.TryResize(grown - kReadSize);
}

void HttpServerConnection::ShrinkInput() {
  if (m_buffer.size() == 0 && m_buffer.capacity() > kReadSize) {
    m_buffer.shrink_to_fit();
    m_buffer_charge.Clear();
  }
}

// Waits for input instead of reading into the buffer, which other requests are
// parsed from meanwhile.
void HttpServerConnection::StartRead() {
  if (m_reading || m_read_failure || m_closed ||
      m_buffer.size() + kReadSize > m_buffer.max_size()) {
    return;
  }
  m_input_refused = !ReserveInput();
  if (m_input_refused) {
    return;
  }
  m_reading = true;
  m_stream.GetSocket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const error_code& failure) {
        self->OnReadable(failure);
      });
}

void HttpServerConnection::OnReadable(error_code failure) {
  m_reading = false;
  if (m_closed) {
    // The buffer has been freed. A fiber that waits for input must see that
    // none is read any more.
    m_input_received.Notify();
    return;
  }
  size_t bytes = 0;
  if (!failure) {
    bytes = ReadInput(failure);
  }
  if (failure == asio::error::would_block) {
    StartRead();
    return;
  }
  OnInput(failure, bytes);
}

// Returns the number of bytes that were read into the buffer. To discard input,
// the kernel is told to, without a copy.
size_t HttpServerConnection::ReadInput(error_code& failure) {
  tcp::socket& socket = m_stream.GetSocket();
  if (m_discard_left == 0) {
    return socket.read_some(m_buffer.prepare(kReadSize), failure);
  }
  const ssize_t discarded = recv(socket.native_handle(), nullptr,
                                 m_discard_left, MSG_TRUNC | MSG_DONTWAIT);
  if (discarded > 0) {
    m_discard_left -= static_cast<size_t>(discarded);
  } else {
    failure = discarded == 0
                  ? error_code(asio::error::eof)
                  : error_code(errno, boost::system::system_category());
  }
  return 0;
}

void HttpServerConnection::OnInput(const error_code& failure, size_t bytes) {
  m_read_failure = failure;
  m_newest_input_at = Clock::now();
  if (m_buffer.size() == 0) {
    m_oldest_input_at = m_newest_input_at;
  }
  m_buffer.commit(bytes);
  CountTransferred(bytes);
  m_input_received.Notify();
  if (failure) {
    CancelAll();
  } else if (!m_has_reader && !m_closed) {
    ReadAhead();
  }
}

void HttpServerConnection::CancelAll() {
  // A cancelled request may end at once, so its entry may be erased meanwhile.
  const auto unanswered = m_unanswered;
  for (const auto& [ticket, cancellation] : unanswered) {
    cancellation->Cancel();
  }
}

void HttpServerConnection::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_order.StopReading();
  error_code ignored;
  m_stream.GetSocket().shutdown(tcp::socket::shutdown_both, ignored);
  m_stream.GetSocket().close(ignored);
  CancelAll();
  m_order_changed.Notify();
  m_input_received.Notify();
}

}  // namespace foxtail
