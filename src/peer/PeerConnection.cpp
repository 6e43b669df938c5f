//===- PeerConnection.cpp - One HTTP/2 connection -------------------------===//

#include "peer/PeerConnection.h"
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace pollenspool {

namespace {

constexpr std::size_t ReadChunkBytes = std::size_t{64} << 10;
// Bounds the reads of one connection in a loop iteration, so that a busy
// connection does not starve the others.
constexpr int ReadsPerTurn = 8;
constexpr std::size_t WriteBufferBytes = std::size_t{256} << 10;
constexpr std::int32_t StreamWindowBytes = 1 << 20;
constexpr std::int32_t ConnectionWindowBytes = 8 << 20;
constexpr std::uint32_t MaxConcurrentStreams = 2000;

nghttp2_nv toNameValue(const StreamHeader &Header) {
  nghttp2_nv Pair{};
  Pair.name = reinterpret_cast<std::uint8_t *>(
      const_cast<char *>(Header.m_Name.data()));
  Pair.namelen = Header.m_Name.size();
  Pair.value = reinterpret_cast<std::uint8_t *>(
      const_cast<char *>(Header.m_Value.data()));
  Pair.valuelen = Header.m_Value.size();
  return Pair;
}

std::vector<nghttp2_nv> toNameValues(const std::vector<StreamHeader> &Headers) {
  std::vector<nghttp2_nv> Pairs;
  Pairs.reserve(Headers.size());
  for (const StreamHeader &Header : Headers)
    Pairs.push_back(toNameValue(Header));
  return Pairs;
}

std::string_view asText(const std::uint8_t *Data, std::size_t Length) {
  return {reinterpret_cast<const char *>(Data), Length};
}

bool endsStream(const nghttp2_frame &Frame) {
  bool MayEnd =
      Frame.hd.type == NGHTTP2_DATA || Frame.hd.type == NGHTTP2_HEADERS;
  return MayEnd && (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

bool isRequestHeaders(const nghttp2_frame &Frame) {
  return Frame.hd.type == NGHTTP2_HEADERS &&
         Frame.headers.cat == NGHTTP2_HCAT_REQUEST;
}

} // namespace

/// The C callbacks of nghttp2. Their user data is the connection.
struct PeerConnection::Callbacks {
  static PeerConnection &self(void *UserData) {
    return *static_cast<PeerConnection *>(UserData);
  }

  static int header(nghttp2_session *, const nghttp2_frame *Frame,
                    const std::uint8_t *Name, std::size_t NameLength,
                    const std::uint8_t *Value, std::size_t ValueLength,
                    std::uint8_t, void *UserData) {
    self(UserData).onHeader(Frame->hd.stream_id, asText(Name, NameLength),
                            asText(Value, ValueLength));
    return 0;
  }

  static int data(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                  const std::uint8_t *Data, std::size_t Length,
                  void *UserData) {
    self(UserData).onData(Stream, asText(Data, Length));
    return 0;
  }

  static int frameReceived(nghttp2_session *, const nghttp2_frame *Frame,
                           void *UserData) {
    self(UserData).countFrame(*Frame, &PathTraffic::m_BytesIn);
    if (endsStream(*Frame))
      self(UserData).onStreamEnd(Frame->hd.stream_id);
    if (Frame->hd.type == NGHTTP2_GOAWAY)
      self(UserData).onGoAway();
    return 0;
  }

  static int beforeFrameSent(nghttp2_session *, const nghttp2_frame *Frame,
                             void *UserData) {
    if (isRequestHeaders(*Frame) &&
        !self(UserData).beforeRequestSent(Frame->hd.stream_id))
      return NGHTTP2_ERR_CANCEL;
    return 0;
  }

  static int frameSent(nghttp2_session *, const nghttp2_frame *Frame,
                       void *UserData) {
    self(UserData).countFrame(*Frame, &PathTraffic::m_BytesOut);
    return 0;
  }

  static int streamClosed(nghttp2_session *, std::int32_t Stream,
                          std::uint32_t Code, void *UserData) {
    self(UserData).onStreamClosed(Stream, Code);
    return 0;
  }

  static ssize_t readBody(nghttp2_session *, std::int32_t Stream,
                          std::uint8_t *Target, std::size_t Length,
                          std::uint32_t *Flags, nghttp2_data_source *,
                          void *UserData) {
    OutgoingBody *Body = self(UserData).bodyToSend(Stream);
    if (!Body)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    std::size_t Count =
        std::min(Length, Body->m_Text.size() - Body->m_BytesSubmitted);
    if (Count > 0)
      std::memcpy(Target, Body->m_Text.data() + Body->m_BytesSubmitted, Count);
    Body->m_BytesSubmitted += Count;
    if (Body->m_BytesSubmitted == Body->m_Text.size())
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(Count);
  }

  static nghttp2_data_provider bodyProvider() {
    nghttp2_data_provider Provider{};
    Provider.read_callback = readBody;
    return Provider;
  }

  static void install(nghttp2_session_callbacks *Table) {
    nghttp2_session_callbacks_set_on_header_callback(Table, header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table, data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Table, frameReceived);
    nghttp2_session_callbacks_set_before_frame_send_callback(Table,
                                                             beforeFrameSent);
    nghttp2_session_callbacks_set_on_frame_send_callback(Table, frameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(Table, streamClosed);
  }
};

PeerConnection::PeerConnection(FileDescriptor Socket, Role End,
                               ConnectionContext &Context)
    : m_Role(End), m_Context(Context), m_Socket(std::move(Socket)) {}

bool PeerConnection::beforeRequestSent(StreamId) { return true; }

void PeerConnection::onGoAway() {}

bool PeerConnection::open(TimePoint Now) {
  m_LastRead = Now;
  m_LastWrite = Now;
  nghttp2_session_callbacks *Table = nullptr;
  if (nghttp2_session_callbacks_new(&Table) != 0)
    return false;
  Callbacks::install(Table);
  nghttp2_session *Session = nullptr;
  int Failure = m_Role == Role::Client
                    ? nghttp2_session_client_new(&Session, Table, this)
                    : nghttp2_session_server_new(&Session, Table, this);
  nghttp2_session_callbacks_del(Table);
  if (Failure != 0)
    return false;
  m_Session.reset(Session);
  return submitSettings();
}

bool PeerConnection::submitSettings() {
  const std::array<nghttp2_settings_entry, 3> Entries = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
  if (nghttp2_submit_settings(m_Session.get(), NGHTTP2_FLAG_NONE,
                              Entries.data(), Entries.size()) != 0)
    return false;
  return nghttp2_session_set_local_window_size(
             m_Session.get(), NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes) == 0;
}

void PeerConnection::onReady(TimePoint Now) { read(Now); }

void PeerConnection::read(TimePoint Now) {
  std::array<std::uint8_t, ReadChunkBytes> Chunk;
  for (int Turn = 0; Turn < ReadsPerTurn && !m_IsClosed; ++Turn) {
    ssize_t Count = ::recv(m_Socket.get(), Chunk.data(), Chunk.size(), 0);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (Count < 0)
      return markClosed(systemMessage(errno));
    if (Count == 0)
      return markClosed("closed by the peer");
    m_LastRead = Now;
    m_AwaitsPingReply = false;
    auto Length = static_cast<std::size_t>(Count);
    m_Context.m_Traffic.add(&PeerTraffic::m_WireBytesIn, Length);
    ssize_t Used =
        nghttp2_session_mem_recv(m_Session.get(), Chunk.data(), Length);
    if (Used < 0) {
      m_Context.m_Traffic.add(&PeerTraffic::m_ProtocolErrors);
      return markClosed(nghttp2_strerror(static_cast<int>(Used)));
    }
  }
}

bool PeerConnection::fillBuffer() {
  while (m_Buffer.size() - m_BufferOffset < WriteBufferBytes) {
    const std::uint8_t *Data = nullptr;
    ssize_t Count = nghttp2_session_mem_send(m_Session.get(), &Data);
    if (Count < 0) {
      markClosed(nghttp2_strerror(static_cast<int>(Count)));
      return false;
    }
    if (Count == 0)
      return true;
    m_Buffer.append(reinterpret_cast<const char *>(Data),
                    static_cast<std::size_t>(Count));
    m_BytesProduced += static_cast<std::uint64_t>(Count);
  }
  return true;
}

bool PeerConnection::writeBuffer(TimePoint Now) {
  while (m_BufferOffset < m_Buffer.size()) {
    ssize_t Count =
        ::send(m_Socket.get(), m_Buffer.data() + m_BufferOffset,
               m_Buffer.size() - m_BufferOffset, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return false;
    if (Count < 0) {
      // The receive buffer may hold a GOAWAY that tells which calls were
      // processed.
      int Failure = errno;
      read(Now);
      markClosed(systemMessage(Failure));
      return false;
    }
    m_BufferOffset += static_cast<std::size_t>(Count);
    m_BytesWritten += static_cast<std::uint64_t>(Count);
    m_LastWrite = Now;
    m_Context.m_Traffic.add(&PeerTraffic::m_WireBytesOut,
                            static_cast<std::uint64_t>(Count));
  }
  m_Buffer.clear();
  m_BufferOffset = 0;
  return true;
}

void PeerConnection::flush(TimePoint Now) {
  if (m_IsClosed || !m_Session)
    return;
  // The write timeout counts from the time at which the empty buffer starts to
  // fill.
  if (!isWriteBlocked())
    m_LastWrite = Now;
  std::uint64_t Before = m_BytesProduced;
  do {
    if (!fillBuffer() || !writeBuffer(Now))
      return;
  } while (nghttp2_session_want_write(m_Session.get()) != 0 &&
           m_BytesProduced != std::exchange(Before, m_BytesProduced));
  if (nghttp2_session_want_read(m_Session.get()) == 0 &&
      nghttp2_session_want_write(m_Session.get()) == 0)
    markClosed("the HTTP/2 session ended");
}

void PeerConnection::checkHealth(TimePoint Now) {
  if (m_IsClosed || !m_Session)
    return;
  const PeerTiming &Timing = m_Context.m_Settings.m_Timing;
  bool IsWriteStalled =
      isWriteBlocked() && Now - m_LastWrite > Timing.m_PingTimeout;
  bool IsPingOverdue =
      m_AwaitsPingReply && Now - m_PingSent > Timing.m_PingTimeout;
  if (IsWriteStalled || IsPingOverdue) {
    m_Context.m_Traffic.add(&PeerTraffic::m_DeadPeers);
    return markClosed(IsWriteStalled ? "the peer does not read"
                                     : "no answer to a PING");
  }
  bool IsBusy = streamCount() > 0 || isWriteBlocked();
  auto PingInterval =
      IsBusy ? Timing.m_BusyPingInterval : Timing.m_IdlePingInterval;
  if (m_AwaitsPingReply || Now - m_LastRead < PingInterval)
    return;
  nghttp2_submit_ping(m_Session.get(), NGHTTP2_FLAG_NONE, nullptr);
  m_AwaitsPingReply = true;
  m_PingSent = Now;
}

void PeerConnection::markClosed(std::string Reason) {
  if (m_IsClosed)
    return;
  m_IsClosed = true;
  m_CloseReason = std::move(Reason);
}

StreamId
PeerConnection::submitRequest(const std::vector<StreamHeader> &Headers) {
  std::vector<nghttp2_nv> Pairs = toNameValues(Headers);
  nghttp2_data_provider Body = Callbacks::bodyProvider();
  return nghttp2_submit_request(m_Session.get(), nullptr, Pairs.data(),
                                Pairs.size(), &Body, nullptr);
}

void PeerConnection::submitResponse(StreamId Stream,
                                    const std::vector<StreamHeader> &Headers) {
  std::vector<nghttp2_nv> Pairs = toNameValues(Headers);
  nghttp2_data_provider Body = Callbacks::bodyProvider();
  int Failure = nghttp2_submit_response(m_Session.get(), Stream, Pairs.data(),
                                        Pairs.size(), &Body);
  if (Failure != 0)
    resetStream(Stream, NGHTTP2_INTERNAL_ERROR);
}

void PeerConnection::resetStream(StreamId Stream, std::uint32_t Code) {
  nghttp2_submit_rst_stream(m_Session.get(), NGHTTP2_FLAG_NONE, Stream, Code);
}

StreamId PeerConnection::submitGoAway() {
  std::int32_t Last = nghttp2_session_get_last_proc_stream_id(m_Session.get());
  nghttp2_submit_goaway(m_Session.get(), NGHTTP2_FLAG_NONE, Last,
                        NGHTTP2_NO_ERROR, nullptr, 0);
  return Last;
}

void PeerConnection::countFrame(const nghttp2_frame &Frame,
                                PathCounter Counter) {
  if (Frame.hd.type != NGHTTP2_DATA && Frame.hd.type != NGHTTP2_HEADERS)
    return;
  std::string_view Path = pathOf(Frame.hd.stream_id);
  constexpr std::uint64_t FrameHeaderBytes = 9;
  if (!Path.empty())
    m_Context.m_Traffic.add(Path, Counter, Frame.hd.length + FrameHeaderBytes);
}

} // namespace pollenspool
