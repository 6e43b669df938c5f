//===- HttpMessageTest.cpp - Tests of HttpMessage -------------------------===//

#include "net/HttpMessage.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(HttpMessage){};

// Guards against a request that strict servers reject: no host, or a POST
// without a length.
TEST(HttpMessage, SerializesHostHeadersAndLength) {
  HttpRequest Request{"POST", "/a?b=c", {{"X-Term", "7"}}, "{}"};
  STRCMP_EQUAL("POST /a?b=c HTTP/1.1\r\nHost: 127.0.0.1:80\r\nX-Term: 7\r\n"
               "Content-Length: 2\r\n\r\n{}",
               serializeRequest(Request, "127.0.0.1:80").c_str());
  Request = {"PUT", "/", {}, ""};
  STRCMP_EQUAL("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
               serializeRequest(Request, "a").c_str());
  Request = {"GET", "/", {}, ""};
  STRCMP_EQUAL("GET / HTTP/1.1\r\nHost: a\r\n\r\n",
               serializeRequest(Request, "a").c_str());
}

// Guards against two hosts or two lengths, which servers may read differently.
TEST(HttpMessage, SerializesTheRequestsOwnHostOnce) {
  HttpRequest Request{
      "POST", "/", {{"host", "b"}, {"content-length", "9"}}, "{}"};
  STRCMP_EQUAL("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\n{}",
               serializeRequest(Request, "a").c_str());
}
