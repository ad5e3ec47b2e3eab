// Tests the command `explain`: parsing of log lines, the lines that it selects
// for a flow, and the cause that it derives from them.
#include "ctl/explain.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace radishyard {
namespace {

using testing::HasSubstr;

constexpr const char* kFlow = "tcp 10.1.0.7:4000 > 198.51.100.1:7000";

std::string MakeLine(const std::string& second, const std::string& rest) {
  return "time=2026-01-02T03:04:" + second + ".000Z level=INFO program=x " +
         rest + "\n";
}

std::string FlowEvent(const std::string& event, const std::string& rest) {
  return "event=" + event + " flow=\"" + kFlow + "\" " + rest;
}

flow_explanation ExplainLog(const std::string& text,
                            const std::string& flow = kFlow) {
  std::istringstream in(text);
  return ExplainFlow(flow, ReadLogLines(in, "rennes-1.log"));
}

TEST(LogLines, ReadsPairsQuotesAndPrefixes) {
  const auto line = ParseLogLine(
      "  12.5 rennes-1 time=T level=WARN program=p event=e a=1 b=\"x "
      "\\\"y\\\"\"",
      "all.log");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->source, "all.log:rennes-1");
  EXPECT_EQ(line->event, "e");
  EXPECT_EQ(FieldOrEmpty(*line, "b"), "x \"y\"");
  EXPECT_EQ(FieldOrEmpty(*line, "none"), "");
  EXPECT_FALSE(ParseLogLine("some other program's line", "f"));
  EXPECT_FALSE(ParseLogLine("time=T without an event", "f"));
}

TEST(Explain, NamesTheUpstreamThatDidNotRespondToTheOpening) {
  const auto result = ExplainLog(
      MakeLine("01",
               FlowEvent("opening", "copy=0 decision=placed upstream=a1")) +
      MakeLine("02",
               FlowEvent("opening", "copy=1 decision=placed upstream=b2")) +
      MakeLine("03", "event=upstream_believed upstream=a1 after=doubted") +
      MakeLine("04", "event=upstream_believed upstream=c3 after=doubted"));
  EXPECT_THAT(result.cause,
              HasSubstr("upstream a1 did not respond to its opening"));
  EXPECT_THAT(
      result.cause,
      HasSubstr("2 opening packets were sent, the last to upstream b2"));
  EXPECT_THAT(result.upstreams, testing::ElementsAre("a1", "b2"));
  EXPECT_EQ(result.lines.size(), 3U);
}

TEST(Explain, NamesTheUpstreamThatDidNotRespondToData) {
  const auto result = ExplainLog(
      MakeLine("05", "event=upstream_gone upstream=a1 revision=9") +
      MakeLine("01",
               FlowEvent("opening", "copy=0 decision=placed upstream=a1")) +
      MakeLine("04",
               FlowEvent("data_repeated", "upstream=a1 unanswered_ms=600")));
  EXPECT_THAT(result.cause, HasSubstr("upstream a1"));
  EXPECT_THAT(result.cause, HasSubstr("600 ms"));
  ASSERT_EQ(result.lines.size(), 3U);
  EXPECT_EQ(result.lines[2].event, "upstream_gone");
}

TEST(Explain, KeepsOnlyBalancerLinesCloseToTheFlowInTime) {
  const auto result = ExplainLog(
      MakeLine("01", "event=started name=rennes-1") +
      MakeLine("15",
               FlowEvent("opening", "copy=0 decision=placed upstream=a1")) +
      MakeLine("20", "event=platform_lost reading=table") +
      MakeLine("40", "event=stopping name=rennes-1"));
  ASSERT_EQ(result.lines.size(), 2U);
  EXPECT_EQ(result.lines[1].event, "platform_lost");
}

TEST(Explain, ReportsARefusedOpeningAsNotExecuted) {
  const auto result = ExplainLog(MakeLine(
      "01",
      FlowEvent("opening",
                "decision=no_upstream upstream=0 revision=7 age_ms=900")));
  EXPECT_THAT(result.cause, HasSubstr("no ready upstream at revision 7"));
  EXPECT_THAT(result.cause, HasSubstr("was not executed"));
  EXPECT_TRUE(result.upstreams.empty());
}

// The cause of an unknown decision would send the operator to a balancer that
// has started.
TEST(Explain, NamesTheCauseOfOpeningsWithoutAUsableUpstream) {
  const auto cause_of = [](const std::string& decision) {
    return ExplainLog(
               MakeLine("01", FlowEvent("opening", "decision=" + decision +
                                                       " upstream=0")))
        .cause;
  };
  EXPECT_THAT(cause_of("evacuated"), HasSubstr("were evacuated"));
  EXPECT_THAT(cause_of("cold_upstream"), HasSubstr("were cold"));
}

// Otherwise a flow that was served is reported as refused.
TEST(Explain, AnOpeningThatWasPlacedAtItsRetransmissionIsNotRefused) {
  const auto result = ExplainLog(
      MakeLine("01",
               FlowEvent("opening", "decision=cold_upstream upstream=0")) +
      MakeLine("02", FlowEvent("opening", "decision=placed upstream=7")));
  EXPECT_THAT(result.cause, HasSubstr("placed on upstream 7"));
}

TEST(Explain, FindsTheFlowByItsCallerAlone) {
  const auto result = ExplainLog(
      MakeLine("01", FlowEvent("flow_reset", "decision=silent_upstream")),
      "10.1.0.7:4000");
  EXPECT_THAT(result.cause, HasSubstr("no longer responded"));
  EXPECT_THAT(ExplainLog("", "10.1.0.7:4000").cause, HasSubstr("no balancer"));
}

TEST(Explain, CommandReadsFilesAndReportsUnreadableOnes) {
  const std::string file = testing::TempDir() + "/explain.log";
  std::ofstream(file) << MakeLine(
      "01", FlowEvent("opening", "copy=0 decision=placed upstream=a1"));
  const command_result result = Explain("10.1.0.7:4000", {file});
  EXPECT_THAT(result.text, HasSubstr("cause: placed on upstream a1"));
  EXPECT_THAT(result.text, HasSubstr("explain.log opening"));
  EXPECT_NE(Explain(kFlow, {file + ".none"}).code, exit_code::kDone);
}

}  // namespace
}  // namespace radishyard
