/**
 * Collects the streams that other VMs have to be told of.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";
import type {
  BegunStreams,
  StreamOrigin,
} from "@sassafrasstage/protocol/stream_origin";

interface Group {
  readonly origin: StreamOrigin;
  readonly attemptIds: AttemptId[];
}

export class BegunStreamsBuffer {
  #groups: Group[] = [];

  add(origin: StreamOrigin, attemptIds: readonly AttemptId[]): void {
    const group = this.#groups.find((candidate) =>
      candidate.origin.service === origin.service &&
      candidate.origin.softwareVersion === origin.softwareVersion
    );
    if (group === undefined) {
      this.#groups.push({ origin, attemptIds: [...attemptIds] });
    } else group.attemptIds.push(...attemptIds);
  }

  /** Returns and clears the collected streams. */
  take(): BegunStreams[] {
    const groups = this.#groups;
    this.#groups = [];
    return groups;
  }
}
