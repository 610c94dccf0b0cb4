package io.cuminvalve.wire.internal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class OutboundQueueTest {

  @Test
  void oldestReplaceableFrameIsDroppedFirst() {
    OutboundQueue queue = new OutboundQueue(3);
    queue.add(new byte[] {1}, false);
    queue.add(new byte[] {2}, true);
    queue.add(new byte[] {3}, true);
    queue.add(new byte[] {4}, false);
    assertThat(queue.droppedCount()).isEqualTo(1);
    assertThat(queue.poll().get()).isEqualTo(1);
    assertThat(queue.poll().get()).isEqualTo(3);
    assertThat(queue.poll().get()).isEqualTo(4);
    assertThat(queue.poll()).isNull();
  }

  @Test
  void oldestFrameIsDroppedWithoutReplaceableFrames() {
    OutboundQueue queue = new OutboundQueue(2);
    for (byte i = 1; i <= 5; i++) {
      queue.add(new byte[] {i}, false);
    }
    assertThat(queue.poll().get()).isEqualTo(4);
    assertThat(queue.droppedCount()).isEqualTo(3);
  }

  @Test
  void queuedBytesAreBounded() {
    OutboundQueue queue = new OutboundQueue(1000);
    for (int i = 0; i < 6; i++) {
      queue.add(new byte[FrameDecoder.MAX_FRAME_BYTES], false);
    }
    assertThat(queue.size()).isEqualTo(4);
    queue.clear();
    assertThat(queue.droppedCount()).isEqualTo(6);
  }
}
