// This file is compiled as C++14: the library's client headers use exception
// specifications that C++17 removed.
#include "runtime/rpc_client.h"

#include <jsonrpccpp/client.h>

#include <exception>

namespace foxtail {
namespace {

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const RpcTransport& transport)
      : m_transport(transport) {}

  // The declared exception specification would terminate the process on any
  // other exception, so an exception of the transport is stored here and
  // rethrown by `CallRpc`.
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    try {
      result = m_transport(message);
    } catch (...) {
      m_transport_failure = std::current_exception();
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "transport");
    }
  }

  void RethrowTransportFailure() const {
    if (m_transport_failure) {
      std::rethrow_exception(m_transport_failure);
    }
  }

 private:
  const RpcTransport& m_transport;
  std::exception_ptr m_transport_failure;
};

}  // namespace

bool CallRpc(const RpcTransport& transport,
             const std::string& method,
             const Json::Value& parameters,
             Json::Value& result,
             std::string& failure) {
  TransportConnector connector(transport);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    client.CallMethod(method, parameters, result);
    return true;
  } catch (const jsonrpc::JsonRpcException& error) {
    connector.RethrowTransportFailure();
    failure = error.GetMessage();
    return false;
  }
}

}  // namespace foxtail
