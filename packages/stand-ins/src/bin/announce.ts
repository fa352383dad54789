/**
 * The line on standard output that tells the parent process the URLs of a
 * stand-in.
 *
 * @module
 */

/** The URLs of one stand-in. */
export interface Announcement {
  readonly url: string;
  readonly controlUrl: string;
  /** Identifies the stand-in if its process runs several of them. */
  readonly id?: string;
}

/** Prints an announcement to standard output. */
export function announce(announcement: Announcement): void {
  const id = announcement.id === undefined ? "" : ` id=${announcement.id}`;
  process.stdout.write(
    `listening url=${announcement.url} ` +
      `control=${announcement.controlUrl}${id}\n`,
  );
}

/** Parses a line of output; undefined if it isn't an announcement. */
export function parseAnnouncement(line: string): Announcement | undefined {
  const match =
    /^listening url=(?<url>\S+) control=(?<control>\S+)(?: id=(?<id>\S+))?$/
      .exec(line);
  const url = match?.groups?.["url"];
  const controlUrl = match?.groups?.["control"];
  const id = match?.groups?.["id"];
  if (url === undefined || controlUrl === undefined) return undefined;
  return { url, controlUrl, ...(id === undefined ? {} : { id }) };
}
