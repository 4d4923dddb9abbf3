package org.skylarkfork.runtime.packed;

import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.message.RaftMessage;

/** Packing of the messages of a replicated group; the group is each message's first component. */
final class RaftMessages {

  // Tags on the wire; a tag is never reused for another record.
  private static final int VOTE_REQUEST = 1;
  private static final int VOTE_RESPONSE = 2;
  private static final int APPEND_REQUEST = 3;
  private static final int APPEND_RESPONSE = 4;
  private static final int SNAPSHOT_CHUNK = 5;
  private static final int CHUNK_RESPONSE = 6;
  private static final int FOUNDING_REQUEST = 7;
  private static final int FOUNDING_RESPONSE = 8;
  private static final int CAMPAIGN_NOW = 9;
  private static final int JOIN_REQUEST = 10;
  private static final int JOIN_RESPONSE = 11;
  private static final int SUBMIT_REQUEST = 12;
  private static final int SUBMIT_ANSWER = 13;
  private static final int SUBMIT_REDIRECT = 14;
  private static final int SUBMIT_REFUSAL = 15;

  private RaftMessages() {}

  static void write(RaftMessage message, PackedWriter out) {
    writeLog(message, out);
  }

  private static PackedWriter begin(int tag, int components, GroupId group, PackedWriter out) {
    RaftValues.writeGroup(group, out.tagged(tag, components + 1));
    return out;
  }

  private static void writeLog(RaftMessage message, PackedWriter out) {
    if (message instanceof RaftMessage.VoteRequest request) {
      begin(VOTE_REQUEST, 5, request.group(), out)
          .number(request.term())
          .number(request.lastIndex())
          .number(request.lastTerm())
          .flag(request.preVote())
          .flag(request.handover());
    } else if (message instanceof RaftMessage.VoteResponse response) {
      begin(VOTE_RESPONSE, 4, response.group(), out)
          .number(response.term())
          .number(response.instance())
          .flag(response.granted())
          .flag(response.preVote());
    } else if (message instanceof RaftMessage.AppendRequest append) {
      begin(APPEND_REQUEST, 6, append.group(), out)
          .number(append.term())
          .number(append.previousIndex())
          .number(append.previousTerm())
          .list(append.entries(), RaftValues::writeEntry)
          .number(append.commitIndex())
          .instant(append.sentAt());
    } else if (message instanceof RaftMessage.AppendResponse appended) {
      begin(APPEND_RESPONSE, 5, appended.group(), out)
          .number(appended.term())
          .number(appended.instance())
          .flag(appended.matched())
          .number(appended.index())
          .instant(appended.sentAt());
    } else if (message instanceof RaftMessage.SnapshotChunk chunk) {
      begin(SNAPSHOT_CHUNK, 6, chunk.group(), out)
          .number(chunk.term())
          .number(chunk.index())
          .number(chunk.offset())
          .number(chunk.length())
          .bytes(chunk.data())
          .instant(chunk.sentAt());
    } else if (message instanceof RaftMessage.ChunkResponse received) {
      begin(CHUNK_RESPONSE, 5, received.group(), out)
          .number(received.term())
          .number(received.instance())
          .number(received.index())
          .number(received.offset())
          .instant(received.sentAt());
    } else {
      writeMembership(message, out);
    }
  }

  private static void writeMembership(RaftMessage message, PackedWriter out) {
    if (message instanceof RaftMessage.FoundingRequest founding) {
      begin(FOUNDING_REQUEST, 1, founding.group(), out).number(founding.instance());
    } else if (message instanceof RaftMessage.FoundingResponse founded) {
      begin(FOUNDING_RESPONSE, 3, founded.group(), out)
          .number(founded.askedBy())
          .number(founded.instance())
          .flag(founded.empty());
    } else if (message instanceof RaftMessage.CampaignNow campaign) {
      begin(CAMPAIGN_NOW, 1, campaign.group(), out).number(campaign.term());
    } else if (message instanceof RaftMessage.JoinRequest join) {
      begin(JOIN_REQUEST, 1, join.group(), out).number(join.instance());
    } else if (message instanceof RaftMessage.JoinResponse joined) {
      begin(JOIN_RESPONSE, 1, joined.group(), out)
          .list(joined.voters(), (node, to) -> to.text(node));
    } else {
      writeSubmission(message, out);
    }
  }

  private static void writeSubmission(RaftMessage message, PackedWriter out) {
    if (message instanceof RaftMessage.SubmitRequest submit) {
      begin(SUBMIT_REQUEST, 3, submit.group(), out)
          .number(submit.session())
          .number(submit.submissionId());
      CommandPacking.writeCommand(submit.command(), out);
    } else if (message instanceof RaftMessage.SubmitAnswer answer) {
      begin(SUBMIT_ANSWER, 3, answer.group(), out)
          .number(answer.session())
          .number(answer.submissionId());
      CommandPacking.writeResult(answer.result(), out);
    } else if (message instanceof RaftMessage.SubmitRedirect redirect) {
      begin(SUBMIT_REDIRECT, 3, redirect.group(), out)
          .number(redirect.session())
          .number(redirect.submissionId())
          .optionalText(redirect.leader());
    } else if (message instanceof RaftMessage.SubmitRefusal refusal) {
      begin(SUBMIT_REFUSAL, 3, refusal.group(), out)
          .number(refusal.session())
          .number(refusal.submissionId())
          .text(refusal.remedy());
    }
  }

  static RaftMessage read(int tag, PackedReader.Components components, PackedReader in) {
    components.consume(1);
    return readLog(tag, RaftValues.readGroup(in), components, in);
  }

  private static RaftMessage readLog(
      int tag, GroupId group, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case VOTE_REQUEST:
        components.consume(5);
        return new RaftMessage.VoteRequest(
            group, in.number(), in.number(), in.number(), in.flag(), in.flag());
      case VOTE_RESPONSE:
        components.consume(4);
        return new RaftMessage.VoteResponse(group, in.number(), in.number(), in.flag(), in.flag());
      case APPEND_REQUEST:
        components.consume(6);
        return new RaftMessage.AppendRequest(
            group,
            in.number(),
            in.number(),
            in.number(),
            in.list(RaftValues::readEntry),
            in.number(),
            in.instant());
      case APPEND_RESPONSE:
        components.consume(5);
        return new RaftMessage.AppendResponse(
            group, in.number(), in.number(), in.flag(), in.number(), in.instant());
      case SNAPSHOT_CHUNK:
        components.consume(6);
        return new RaftMessage.SnapshotChunk(
            group,
            in.number(),
            in.number(),
            in.smallNumber(),
            in.smallNumber(),
            in.bytes(),
            in.instant());
      case CHUNK_RESPONSE:
        components.consume(5);
        return new RaftMessage.ChunkResponse(
            group, in.number(), in.number(), in.number(), in.smallNumber(), in.instant());
      default:
        return readMembership(tag, group, components, in);
    }
  }

  private static RaftMessage readMembership(
      int tag, GroupId group, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case FOUNDING_REQUEST:
        components.consume(1);
        return new RaftMessage.FoundingRequest(group, in.number());
      case FOUNDING_RESPONSE:
        components.consume(3);
        return new RaftMessage.FoundingResponse(group, in.number(), in.number(), in.flag());
      case CAMPAIGN_NOW:
        components.consume(1);
        return new RaftMessage.CampaignNow(group, in.number());
      case JOIN_REQUEST:
        components.consume(1);
        return new RaftMessage.JoinRequest(group, in.number());
      case JOIN_RESPONSE:
        components.consume(1);
        return new RaftMessage.JoinResponse(group, in.list(PackedReader::text));
      default:
        return readSubmission(tag, group, components, in);
    }
  }

  private static RaftMessage readSubmission(
      int tag, GroupId group, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case SUBMIT_REQUEST:
        components.consume(3);
        return new RaftMessage.SubmitRequest(
            group, in.number(), in.number(), CommandPacking.readCommand(in));
      case SUBMIT_ANSWER:
        components.consume(3);
        return new RaftMessage.SubmitAnswer(
            group, in.number(), in.number(), CommandPacking.readResult(in));
      case SUBMIT_REDIRECT:
        components.consume(3);
        return new RaftMessage.SubmitRedirect(group, in.number(), in.number(), in.optionalText());
      case SUBMIT_REFUSAL:
        components.consume(3);
        return new RaftMessage.SubmitRefusal(group, in.number(), in.number(), in.text());
      default:
        throw PackedReader.unknown("message", tag);
    }
  }
}
