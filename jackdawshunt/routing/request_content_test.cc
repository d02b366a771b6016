#include "jackdawshunt/routing/request_content.h"

#include <set>
#include <string>

#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

// Guards against requests that are taken for the same one, so that the refusal
// of one refuses the other.
TEST(ContentHashTest, EachFieldTellsRequestsApart) {
  Prompt prompt;
  prompt.parts = {{1, 100}, {2, 100}};
  Prompt other_last_part;
  other_last_part.parts = {{1, 100}, {3, 100}};
  const RequestContent base{.method = "GET",
                            .host = "h.example",
                            .target = "/a/?x=1",
                            .workspace = "lodge",
                            .body = "b"};
  std::set<uint64_t> hashes = {ContentHash(base)};
  const auto add = [&](RequestContent content) {
    EXPECT_TRUE(hashes.insert(ContentHash(content)).second);
  };
  RequestContent other = base;
  other.method = "PUT";
  add(other);
  other = base;
  other.host = "i.example";
  add(other);
  other = base;
  other.target = "/a/?x=2";
  add(other);
  other = base;
  other.workspace = "school";
  add(other);
  other = base;
  other.body = "c";
  add(other);
  other = base;
  other.workspace = "lodgeb";
  other.body = "";
  add(other);
  other = base;
  other.prompt = &prompt;
  add(other);
  other.prompt = &other_last_part;
  add(other);
}

TEST(ContentHashTest, SameContentHasTheSameHash) {
  const std::string body(1 << 20, 'x');
  const std::string copy(1 << 20, 'x');
  EXPECT_EQ(ContentHash({.method = "POST", .target = "/a/", .body = body}),
            ContentHash({.method = "POST", .target = "/a/", .body = copy}));
}

}  // namespace
}  // namespace jackdawshunt::routing
