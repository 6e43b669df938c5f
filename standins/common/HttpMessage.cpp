//===- HttpMessage.cpp - HTTP/1.1 messages and their parser ---------------===//

#include "common/HttpMessage.h"
#include <algorithm>
#include <cctype>
#include <charconv>
#include <strings.h>

namespace standin {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t MaxHeadBytes = 65536;
constexpr std::size_t MaxBodyBytes = 512 * 1024 * 1024;

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         ::strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() &&
         std::isspace(static_cast<unsigned char>(Text.front())))
    Text.remove_prefix(1);
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text.back())))
    Text.remove_suffix(1);
  return Text;
}

template <typename Number>
bool parseNumber(std::string_view Text, Number &Value, int Base = 10) {
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value, Base);
  return !Text.empty() && Read.ec == std::errc() && Read.ptr == End;
}

std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Code = 0;
    if (Text[I] == '%' && I + 2 < Text.size() &&
        parseNumber(Text.substr(I + 1, 2), Code, 16)) {
      Decoded += static_cast<char>(Code);
      I += 2;
    } else {
      Decoded += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Decoded;
}

const char *statusText(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 202:
    return "Accepted";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 500:
    return "Internal Server Error";
  case 503:
    return "Service Unavailable";
  default:
    return "Status";
  }
}

void appendHeaders(std::string &Bytes, const HttpMessage &Message) {
  for (const HttpHeader &Header : Message.m_Headers)
    Bytes.append(Header.m_Name)
        .append(": ")
        .append(Header.m_Value)
        .append(LineEnd);
  Bytes.append("Content-Length: ")
      .append(std::to_string(Message.m_Body.size()))
      .append(HeadEnd)
      .append(Message.m_Body);
}

} // namespace

std::string_view HttpMessage::header(std::string_view Name) const {
  for (const HttpHeader &Header : m_Headers)
    if (equalsIgnoringCase(Header.m_Name, Name))
      return Header.m_Value;
  return {};
}

bool HttpMessage::hasHeader(std::string_view Name) const {
  return std::any_of(m_Headers.begin(), m_Headers.end(),
                     [Name](const HttpHeader &Header) {
                       return equalsIgnoringCase(Header.m_Name, Name);
                     });
}

void HttpMessage::addHeader(std::string Name, std::string Value) {
  m_Headers.push_back({std::move(Name), std::move(Value)});
}

std::string_view HttpMessage::path() const {
  const std::string_view Target = m_Target;
  return Target.substr(0, Target.find('?'));
}

std::vector<std::string> HttpMessage::queryValues(std::string_view Name) const {
  std::vector<std::string> Values;
  const std::size_t QuestionMark = m_Target.find('?');
  if (QuestionMark == std::string::npos)
    return Values;
  std::string_view Rest = std::string_view(m_Target).substr(QuestionMark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      Values.push_back(decodePercent(Pair.substr(Equals + 1)));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
  }
  return Values;
}

bool HttpMessage::wantsKeepAlive() const {
  return !equalsIgnoringCase(header("Connection"), "close");
}

std::string writeRequest(const HttpMessage &Request, const std::string &Host) {
  std::string Bytes = Request.m_Method + " " + Request.m_Target + " HTTP/1.1";
  Bytes.append(LineEnd).append("Host: ").append(Host).append(LineEnd);
  appendHeaders(Bytes, Request);
  return Bytes;
}

std::string writeReply(const HttpMessage &Reply) {
  std::string Bytes = "HTTP/1.1 " + std::to_string(Reply.m_Status) + " ";
  Bytes.append(statusText(Reply.m_Status)).append(LineEnd);
  appendHeaders(Bytes, Reply);
  return Bytes;
}

HttpMessage jsonReply(int Status, std::string Json) {
  HttpMessage Reply;
  Reply.m_Status = Status;
  Reply.m_Body = std::move(Json);
  Reply.addHeader("Content-Type", "application/json");
  return Reply;
}

HttpParser::State HttpParser::feed(std::string_view Bytes) {
  m_Buffer.append(Bytes);
  const State NewState = advance();
  m_Malformed = NewState == State::Malformed;
  return NewState;
}

HttpParser::State HttpParser::finish() {
  if (m_Malformed || !m_HeadDone)
    return State::Malformed;
  if (m_Framing != Framing::UntilEnd)
    return m_BodyDone ? State::Complete : State::Malformed;
  m_Message.m_Body = std::move(m_Buffer);
  m_Buffer.clear();
  m_BodyDone = true;
  return State::Complete;
}

HttpMessage HttpParser::take() {
  HttpMessage Result = std::move(m_Message);
  m_Message = HttpMessage();
  m_HeadDone = false;
  m_BodyDone = false;
  return Result;
}

HttpParser::State HttpParser::advance() {
  if (m_Malformed)
    return State::Malformed;
  while (!m_HeadDone) {
    const std::size_t End = m_Buffer.find(HeadEnd);
    if (End == std::string::npos)
      return m_Buffer.size() > MaxHeadBytes ? State::Malformed
                                            : State::NeedsMore;
    if (!parseHead())
      return State::Malformed;
    // An interim reply (1xx) is skipped because the final one follows.
    if (m_Message.m_Status >= 100 && m_Message.m_Status < 200)
      m_Message = HttpMessage();
    else
      m_HeadDone = true;
  }
  if (m_Framing == Framing::Chunked)
    return readChunks();
  if (m_Framing == Framing::UntilEnd || m_Buffer.size() < m_Length)
    return State::NeedsMore;
  m_Message.m_Body = m_Buffer.substr(0, m_Length);
  m_Buffer.erase(0, m_Length);
  m_BodyDone = true;
  return State::Complete;
}

bool HttpParser::parseHead() {
  const std::size_t End = m_Buffer.find(HeadEnd);
  const std::string Head = m_Buffer.substr(0, End);
  m_Buffer.erase(0, End + HeadEnd.size());
  std::size_t Begin = Head.find(LineEnd);
  if (!parseStartLine(std::string_view(Head).substr(0, Begin)))
    return false;
  while (Begin != std::string::npos) {
    Begin += LineEnd.size();
    const std::size_t Next = Head.find(LineEnd, Begin);
    const std::string_view Line =
        std::string_view(Head).substr(Begin, Next - Begin);
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos)
      return false;
    m_Message.addHeader(std::string(Line.substr(0, Colon)),
                        std::string(trim(Line.substr(Colon + 1))));
    Begin = Next;
  }
  return chooseFraming();
}

bool HttpParser::parseStartLine(std::string_view Line) {
  const std::size_t First = Line.find(' ');
  if (First == std::string_view::npos)
    return false;
  const std::size_t Second = Line.find(' ', First + 1);
  const std::string_view Middle = Line.substr(First + 1, Second - First - 1);
  if (m_Kind == Kind::Reply)
    return parseNumber(Middle, m_Message.m_Status);
  if (Second == std::string_view::npos || Middle.empty())
    return false;
  m_Message.m_Method = std::string(Line.substr(0, First));
  m_Message.m_Target = std::string(Middle);
  return true;
}

bool HttpParser::chooseFraming() {
  m_Length = 0;
  m_Framing = Framing::Length;
  if (equalsIgnoringCase(m_Message.header("Transfer-Encoding"), "chunked")) {
    m_Framing = Framing::Chunked;
    return true;
  }
  if (m_Message.hasHeader("Content-Length"))
    return parseNumber(m_Message.header("Content-Length"), m_Length) &&
           m_Length <= MaxBodyBytes;
  const bool HasNoBody = m_Message.m_Status == 204 || m_Message.m_Status == 304;
  if (m_Kind == Kind::Reply && !HasNoBody) {
    m_Framing = Framing::UntilEnd;
    m_Message.m_Framed = false;
  }
  return true;
}

HttpParser::State HttpParser::readChunks() {
  while (true) {
    const std::size_t End = m_Buffer.find(LineEnd);
    if (End == std::string::npos)
      return State::NeedsMore;
    const std::string_view Line = std::string_view(m_Buffer).substr(0, End);
    std::size_t Size = 0;
    if (!parseNumber(trim(Line.substr(0, Line.find(';'))), Size, 16) ||
        Size > MaxBodyBytes)
      return State::Malformed;
    const std::size_t Begin = End + LineEnd.size();
    if (m_Buffer.size() < Begin + Size + LineEnd.size())
      return State::NeedsMore;
    m_Message.m_Body.append(m_Buffer, Begin, Size);
    m_Buffer.erase(0, Begin + Size + LineEnd.size());
    if (Size == 0) {
      m_BodyDone = true;
      return State::Complete;
    }
  }
}

} // namespace standin
