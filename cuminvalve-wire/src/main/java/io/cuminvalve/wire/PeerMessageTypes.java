package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.ConfigRequest;
import io.cuminvalve.core.protocol.ConfigurationUpdate;
import io.cuminvalve.core.protocol.CrashUpdate;
import io.cuminvalve.core.protocol.DepartureUpdate;
import io.cuminvalve.core.protocol.FleetHeartbeat;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetSnapshot;
import io.cuminvalve.core.protocol.FollowerHeartbeat;
import io.cuminvalve.core.protocol.Heartbeat;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.HolderAlive;
import io.cuminvalve.core.protocol.HolderLearnReply;
import io.cuminvalve.core.protocol.HolderLearnRequest;
import io.cuminvalve.core.protocol.HolderProbe;
import io.cuminvalve.core.protocol.IntentClaimReply;
import io.cuminvalve.core.protocol.IntentClaimRequest;
import io.cuminvalve.core.protocol.IntentPullReply;
import io.cuminvalve.core.protocol.IntentPullRequest;
import io.cuminvalve.core.protocol.IntentSettled;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.core.protocol.LearnReply;
import io.cuminvalve.core.protocol.LearnRequest;
import io.cuminvalve.core.protocol.LeaseReply;
import io.cuminvalve.core.protocol.LeaseRequest;
import io.cuminvalve.core.protocol.LimitUpdate;
import io.cuminvalve.core.protocol.LoadReport;
import io.cuminvalve.core.protocol.NotHolder;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.PermitGranted;
import io.cuminvalve.core.protocol.PermitQueued;
import io.cuminvalve.core.protocol.PermitRefused;
import io.cuminvalve.core.protocol.PermitReleased;
import io.cuminvalve.core.protocol.PermitReport;
import io.cuminvalve.core.protocol.PermitReportRequest;
import io.cuminvalve.core.protocol.PermitRequest;
import io.cuminvalve.core.protocol.PermitWithdrawn;
import io.cuminvalve.core.protocol.PermitsClosed;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.core.protocol.RemainingLeases;
import io.cuminvalve.core.protocol.RouterHello;
import io.cuminvalve.core.protocol.RouterHints;
import io.cuminvalve.core.protocol.RouterLeave;
import io.cuminvalve.core.protocol.RouterLeft;
import io.cuminvalve.core.protocol.RoutesChange;
import io.cuminvalve.core.protocol.RoutesPush;
import io.cuminvalve.core.protocol.ShardsOpened;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.protocol.TableRequest;
import io.cuminvalve.core.protocol.TargetBackoffsReport;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.protocol.TargetsChange;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.core.protocol.TermSuperseded;
import io.cuminvalve.core.protocol.TrialPermit;
import io.cuminvalve.core.protocol.TrialRequest;
import java.util.Map;

/**
 * Assigns each message type its id on the wire.
 *
 * <p>The ids are part of the protocol: never change or reuse one.
 *
 * @since 0.1
 */
public final class PeerMessageTypes {

  private static final Map<Integer, Class<?>> TYPES =
      Map.ofEntries(
          type(1, Heartbeat.class),
          type(2, HeartbeatReply.class),
          type(3, LeaseRequest.class),
          type(4, LeaseReply.class),
          type(5, LearnRequest.class),
          type(6, LearnReply.class),
          type(7, HolderLearnRequest.class),
          type(8, HolderLearnReply.class),
          type(9, RouterHello.class),
          type(10, NotHolder.class),
          type(11, TableRequest.class),
          type(12, TablePush.class),
          type(13, ConfigRequest.class),
          type(14, ConfigPush.class),
          type(15, ShardsOpened.class),
          type(16, RouterLeave.class),
          type(17, RouterLeft.class),
          type(18, LoadReport.class),
          type(19, IntentClaimRequest.class),
          type(20, IntentClaimReply.class),
          type(21, IntentPullRequest.class),
          type(22, IntentPullReply.class),
          type(23, IntentSettled.class),
          type(24, PermitRequest.class),
          type(25, PermitGranted.class),
          type(26, PermitRefused.class),
          type(27, PermitReleased.class),
          type(28, PermitReport.class),
          type(29, PermitReportRequest.class),
          type(30, PermitWithdrawn.class),
          type(31, PermitQueued.class),
          type(32, PermitsClosed.class),
          type(33, HolderProbe.class),
          type(34, HolderAlive.class),
          type(35, RouterHints.class),
          type(36, FleetHello.class),
          type(37, FleetHeartbeat.class),
          type(38, TargetsPush.class),
          type(39, RoutesPush.class),
          type(40, KeyLoadReport.class),
          type(41, TargetLatencyReport.class),
          type(42, FleetSnapshot.class),
          type(43, TermSuperseded.class),
          type(44, RemainingLeases.class),
          type(45, TargetReplaced.class),
          type(46, RoutesChange.class),
          type(47, TargetsChange.class),
          type(48, ConfigurationUpdate.class),
          type(49, FollowerHeartbeat.class),
          type(50, CrashUpdate.class),
          type(51, LimitUpdate.class),
          type(52, QuotaRequest.class),
          type(53, QuotaReply.class),
          type(54, TrialRequest.class),
          type(55, TrialPermit.class),
          type(56, TargetBackoffsReport.class),
          type(57, DepartureUpdate.class));

  private PeerMessageTypes() {}

  static Map<Integer, Class<?>> all() {
    return TYPES;
  }

  private static Map.Entry<Integer, Class<?>> type(int id, Class<? extends PeerMessage> type) {
    return Map.entry(id, type);
  }
}
