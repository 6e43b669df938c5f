//===- ReplyParser.h - Parser of an HTTP reply ------------------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_REPLYPARSER_H
#define POLLENSPOOL_NET_REPLYPARSER_H

#include "net/HttpMessage.h"
#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace pollenspool {

/// Parses one reply straight into an HttpReply, without Beast's container of
/// fields. Not thread safe.
class ReplyParser : public boost::beast::http::basic_parser<false> {
public:
  explicit ReplyParser(std::uint64_t MaxBodyBytes) {
    body_limit(MaxBodyBytes);
    eager(true);
  }

  /// The reply. Precondition: is_done().
  HttpReply take() {
    std::size_t Size = m_Reply.m_Body.size();
    for (const std::string &Part : m_FurtherParts)
      Size += Part.size();
    m_Reply.m_Body.reserve(Size);
    for (const std::string &Part : m_FurtherParts)
      m_Reply.m_Body += Part;
    m_FurtherParts.clear();
    return std::move(m_Reply);
  }

private:
  using ErrorCodeRef = boost::system::error_code &;
  using Text = boost::beast::string_view;
  using Field = boost::beast::http::field;
  /// Headers that a reply usually has.
  static constexpr std::size_t UsualHeaders = 6;
  /// Size of the parts of a body without an announced length. A text that grows
  /// by copies takes up to three times its size, and leaves gaps.
  static constexpr std::size_t PartBytes = 64 * 1024;

  void on_request_impl(boost::beast::http::verb, Text, Text, int,
                       ErrorCodeRef) override {}
  void on_response_impl(int Status, Text, int, ErrorCodeRef) override {
    m_Reply.m_Status = static_cast<unsigned>(Status);
    m_Reply.m_Headers.reserve(UsualHeaders);
  }
  void on_field_impl(Field, Text Name, Text Value, ErrorCodeRef) override {
    m_Reply.m_Headers.emplace_back(std::string(Name.data(), Name.size()),
                                   std::string(Value.data(), Value.size()));
  }
  void on_header_impl(ErrorCodeRef) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         ErrorCodeRef Failed) override {
    if (!Length)
      return;
    if (*Length > m_Reply.m_Body.max_size())
      Failed = boost::beast::http::error::buffer_overflow;
    else
      m_Reply.m_Body.reserve(static_cast<std::size_t>(*Length));
  }
  std::size_t on_body_impl(Text Part, ErrorCodeRef) override {
    std::string *Last =
        m_FurtherParts.empty() ? &m_Reply.m_Body : &m_FurtherParts.back();
    if (Last->size() + Part.size() > std::max(Last->capacity(), PartBytes)) {
      Last = &m_FurtherParts.emplace_back();
      Last->reserve(PartBytes);
    }
    Last->append(Part.data(), Part.size());
    return Part.size();
  }
  void on_chunk_header_impl(std::uint64_t, Text, ErrorCodeRef) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text Part,
                                 ErrorCodeRef Failed) override {
    return on_body_impl(Part, Failed);
  }
  void on_finish_impl(ErrorCodeRef) override {}

  HttpReply m_Reply;
  /// What follows the body of m_Reply.
  std::vector<std::string> m_FurtherParts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_REPLYPARSER_H
