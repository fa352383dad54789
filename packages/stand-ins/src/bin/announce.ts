/**
 * The line that tells the parent process where a stand-in listens.
 *
 * @module
 */

/** Where one stand-in listens. */
export interface Announcement {
  readonly url: string;
  readonly controlUrl: string;
  /** Which of several in one process. */
  readonly id?: string;
}

/** Prints the line. */
export function announce(announcement: Announcement): void {
  const id = announcement.id === undefined ? "" : ` id=${announcement.id}`;
  process.stdout.write(
    `listening url=${announcement.url} ` +
      `control=${announcement.controlUrl}${id}\n`,
  );
}

/** Reads the line; undefined when it is another one. */
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
