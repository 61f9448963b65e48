#include "common/endpoint.h"

#include <gtest/gtest.h>

#include <string>

namespace boragepick {
namespace {

TEST(Endpoint, ParsesAnAddressAndAPort) {
  const auto endpoint = ParseHostEndpoint("10.200.0.1:65535");
  ASSERT_TRUE(endpoint);
  EXPECT_EQ(endpoint->ip, "10.200.0.1");
  EXPECT_EQ(endpoint->port, 65535);
}

TEST(Endpoint, RejectsWhatNoSocketCanConnectTo) {
  for (const std::string text : {"",
                                 ":",
                                 ":80",
                                 "10.0.0.1",
                                 "10.0.0.1:",
                                 "10.0.0.1:0",
                                 "10.0.0.1:65536",
                                 "10.0.0.1:18446744073709551617",
                                 "10.0.0.1:-1",
                                 "10.0.0.1:+1",
                                 "10.0.0.1:080",
                                 "10.0.0.1:8x",
                                 "10.0.0.1: 80",
                                 "10.0.0.1 :80",
                                 " 10.0.0.1:80",
                                 "10.0.0.1:80\n",
                                 "10.0.0.1:80:80",
                                 "10.0.0:80",
                                 "10.0.0.0.1:80",
                                 "10.0.0.256:80",
                                 "10.0.0.01:80",
                                 "10..0.1:80",
                                 "0.0.0.0:80",
                                 "224.0.0.1:80",
                                 "255.255.255.255:80",
                                 "x:y",
                                 "host.example:80",
                                 "[::1]:80"})
    EXPECT_FALSE(ParseHostEndpoint(text)) << text;
  EXPECT_FALSE(ParseHostEndpoint(std::string("10.0.0.1:8\0", 11)));
  EXPECT_FALSE(ParseHostEndpoint(std::string(200'000, '1') + ":80"));
}

}  // namespace
}  // namespace boragepick
