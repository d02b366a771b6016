#include "jackdawshunt/gateway/event_splitter.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck.h"
// rapidcheck/gtest.h needs the two headers before it.
#include "rapidcheck/gtest.h"

namespace jackdawshunt::gateway {
namespace {

// Returns the processor time, in seconds, that a splitter takes for `text` in
// pieces of one byte; the best of some runs.
double SecondsInSmallPieces(const std::string& text) {
  constexpr int kRuns = 3;
  double best = std::numeric_limits<double>::max();
  for (int run = 0; run < kRuns; ++run) {
    EventSplitter splitter;
    const std::clock_t began = std::clock();
    for (const char& byte : text) {
      splitter.Feed({&byte, 1});
    }
    best = std::min(best,
                    static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC);
  }
  return best;
}

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

// Guards against the incomplete event of a lost response in the next one's.
TEST(EventSplitterTest, PartialEventOfEarlierResponseIsNotReturned) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 7\ndata: a\n\nid: 8\nda"), "id: 7\ndata: a\n\n");
  EXPECT_EQ(splitter.partial(), "id: 8\nda");
  EventSplitter next(splitter.last_event_id());
  EXPECT_EQ(next.Feed("id: 8\r\ndata: b\r\n\r\n"), "id: 8\r\ndata: b\r\n\r\n");
  EXPECT_EQ(next.last_event_id(), 8u);
}

// Guards against a stream that was cut in an event too large to be kept, and
// looks complete.
TEST(EventSplitterTest, StreamThatEndsInsideALargeEventIsNotComplete) {
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: a\n\n");
  EXPECT_FALSE(splitter.is_inside_event());
  splitter.Feed("id: 2\ndata: " + std::string(size_t{300} * 1024, 'x'));
  EXPECT_TRUE(splitter.is_inside_event());
  splitter.Feed("\n\n");
  EXPECT_FALSE(splitter.is_inside_event());
  splitter.Feed("id: 3\nda");
  EXPECT_TRUE(splitter.is_inside_event());
}

// Guards against memory for events without end when there is none to spare.
TEST(EventSplitterTest, KeepsNoEventOnceThereIsNoRoom) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 1\ndata: a"), "");
  splitter.StopKeeping();
  EXPECT_EQ(splitter.Feed("b"), "id: 1\ndata: ab");
  EXPECT_TRUE(splitter.is_inside_event());
  EXPECT_EQ(splitter.Feed("c\n"), "c");
  EXPECT_EQ(splitter.Feed("\nid: 2\n"), "\n\nid: 2");
  EXPECT_EQ(splitter.event_count(), 1u);
  EXPECT_EQ(splitter.Feed("data: d\n\n"), "\ndata: d\n\n");
  EXPECT_FALSE(splitter.is_inside_event());
  EXPECT_EQ(splitter.event_count(), 2u);
}

// Guards against an event that a caller gets twice, since its id was in a piece
// returned before the event was complete, and the stream is resumed before it.
TEST(EventSplitterTest, KnowsTheIdOfALargeEvent) {
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: a\n\n");
  splitter.Feed("id: 2\ndata: " + std::string(size_t{300} * 1024, 'x'));
  // In the middle of a line.
  splitter.Feed("id: 1\n\n");
  EXPECT_FALSE(splitter.is_out_of_order());
  EXPECT_EQ(splitter.last_event_id(), 2u);
  EXPECT_EQ(
      splitter.Feed("id: 2\ndata: " + std::string(size_t{300} * 1024, 'x')),
      "");
  EXPECT_TRUE(splitter.is_out_of_order());
}

// Guards against an event that a caller gets twice, since its id was missed: a
// piece of the event ended inside the line of the id, or behind it.
TEST(EventSplitterTest, MissesAnIdThatIsCut) {
  const std::string start = "data: " + std::string(size_t{257} * 1024, 'x');
  for (const std::string line : {"\nid: 2\n", "\r\nid: 2\r\n", "\nid:2\n"}) {
    for (size_t first = 0; first <= line.size(); ++first) {
      for (size_t second = first; second <= line.size(); ++second) {
        EventSplitter splitter;
        std::string out(splitter.Feed("id: 1\n\n" + start));
        splitter.StopKeeping();
        out.append(splitter.Feed(line.substr(0, first)));
        out.append(splitter.Feed(line.substr(first, second - first)));
        out.append(splitter.Feed(line.substr(second) + "data: y\n\n"));
        EXPECT_EQ(out, std::string("id: 1\n\n")
                           .append(start)
                           .append(line)
                           .append("data: y\n\n"));
        EXPECT_EQ(splitter.last_event_id(), 2u) << first << " " << second;
        EXPECT_EQ(splitter.event_count(), 2u);
      }
    }
  }
}

// Guards against an event of a second run, whose id is not seen to be that of
// an earlier event because it was cut.
TEST(EventSplitterTest, MissesThatACutIdDoesNotIncrease) {
  EventSplitter splitter(/*last_event_id=*/2);
  splitter.StopKeeping();
  EXPECT_EQ(splitter.Feed("data: x\ni"), "data: x\ni");
  EXPECT_EQ(splitter.Feed("d: 2\n\n"), "");
  EXPECT_TRUE(splitter.is_out_of_order());
}

// Guards against a large event whose end is not seen, because it was cut there.
TEST(EventSplitterTest, SeesTheEndOfALargeEventInTwoPieces) {
  for (const std::string end : {"\n\n", "\r\n\r\n"}) {
    for (size_t cut = 0; cut <= end.size(); ++cut) {
      const std::string text =
          "id: 2\ndata: " + std::string(size_t{300} * 1024, 'x') + end +
          "id: 3\n\n";
      const size_t at = text.size() - 7 - end.size() + cut;
      EventSplitter splitter;
      std::string out(splitter.Feed(text.substr(0, at)));
      out.append(splitter.Feed(text.substr(at)));
      EXPECT_EQ(out, text) << cut;
      EXPECT_EQ(splitter.event_count(), 2u) << cut;
      EXPECT_EQ(splitter.last_event_id(), 3u) << cut;
      EXPECT_FALSE(splitter.is_inside_event()) << cut;
    }
  }
}

// Guards against a gateway that stands still, since a large event in small
// pieces is searched from its beginning for each of them.
TEST(EventSplitterTest, EventInSmallPiecesIsSearchedAgainForEach) {
  // Far above noise, far below the factor of a search that begins anew.
  constexpr double kMaxFactor = 20;
  constexpr size_t kBytes = size_t{48} * 1024;
  const auto repeat = [](std::string_view piece) {
    std::string text;
    while (text.size() < kBytes) {
      text.append(piece);
    }
    return text;
  };
  const double of_small_events = SecondsInSmallPieces(repeat("d\n\n"));
  for (const std::string_view line : {"d\n", "d\r\n", ": c\n", "id: 1\n"}) {
    EXPECT_LT(SecondsInSmallPieces(repeat(line)), kMaxFactor * of_small_events)
        << line;
  }
}

// Guards against ends of events that are missed where a piece ends.
RC_GTEST_PROP(EventSplitterTest, PiecesChangeTheEvents, ()) {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("\n", "\r", "\r\n", "d", "id: 1", "id: 2",
                                    "HTTP/1."));
  std::string text;
  for (const std::string& part : parts) {
    text.append(part);
  }
  EventSplitter whole;
  const std::string expected(whole.Feed(text));
  EventSplitter splitter;
  std::string out;
  for (size_t at = 0; at < text.size();) {
    const size_t size = *rc::gen::inRange<size_t>(1, 5);
    out.append(splitter.Feed(std::string_view(text).substr(at, size)));
    at += size;
  }
  RC_ASSERT(out == expected);
  RC_ASSERT(splitter.event_count() == whole.event_count());
  RC_ASSERT(splitter.last_event_id() == whole.last_event_id());
  RC_ASSERT(splitter.is_out_of_order() == whole.is_out_of_order());
  RC_ASSERT(splitter.partial() == whole.partial());
}

// Guards against the head of an error in place of an event, in any pieces.
TEST(EventSplitterTest, ReturnsNoHeadOfAnAnswer) {
  const std::string event = "id: 1\ndata: HTTP/1.1 200 OK\n\n";
  const std::string text =
      event + "HTTP/1.1 500 Error\r\nX: y\r\n\r\nfailed\n\nid: 2\n\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    std::string out(splitter.Feed(text.substr(0, cut)));
    out.append(splitter.Feed(text.substr(cut)));
    EXPECT_EQ(out, event) << cut;
    EXPECT_TRUE(splitter.is_out_of_order()) << cut;
  }
}

// Guards against events of a second run, which follow those of the first, or
// come from an engine that does not resume where it was asked to.
TEST(EventSplitterTest, ReturnsNoEventWhoseIdDoesNotIncrease) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 1\n\nid: 3\n\nid: 3\n\nid: 4\n\n"),
            "id: 1\n\nid: 3\n\n");
  EXPECT_TRUE(splitter.is_out_of_order());
  EXPECT_EQ(splitter.Feed("id: 5\n\n"), "");
  EXPECT_EQ(splitter.event_count(), 2u);
  EventSplitter second(splitter.last_event_id());
  EXPECT_FALSE(second.is_out_of_order());
  EXPECT_EQ(second.Feed("id: 2\n\n"), "");
  EXPECT_TRUE(second.is_out_of_order());
  EventSplitter third(second.last_event_id());
  EXPECT_EQ(third.Feed("data: no id\n\nid: 4\n\n"), "data: no id\n\nid: 4\n\n");
  EXPECT_EQ(third.last_event_id(), 4u);
}

}  // namespace
}  // namespace jackdawshunt::gateway
