#include "jackdawshunt/gateway/event_splitter.h"

#include "gtest/gtest.h"

namespace jackdawshunt::gateway {
namespace {

TEST(EventSplitterTest, ReturnsOnlyCompleteEvents) {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    std::string out(splitter.Feed(text.substr(0, cut)));
    EXPECT_TRUE(out.empty() || out.ends_with("\n\n"));
    out.append(splitter.Feed(text.substr(cut)));
    EXPECT_EQ(out, text);
    EXPECT_EQ(splitter.last_event_id(), 2u);
    EXPECT_EQ(splitter.event_count(), 2u);
    EXPECT_TRUE(splitter.partial().empty());
  }
}

TEST(EventSplitterTest, DroppedPartialEventIsNotReturned) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 7\ndata: a\n\nid: 8\nda"), "id: 7\ndata: a\n\n");
  EXPECT_EQ(splitter.partial(), "id: 8\nda");
  splitter.DropPartial();
  EXPECT_EQ(splitter.Feed("id: 8\r\ndata: b\r\n\r\n"),
            "id: 8\r\ndata: b\r\n\r\n");
  EXPECT_EQ(splitter.last_event_id(), 8u);
}

}  // namespace
}  // namespace jackdawshunt::gateway
