// A model server whose streams are long for items of batch jobs and short for
// online requests, and which can crash for a while.
import {setTimeout as pause} from 'node:timers/promises';
import {ServerStandIn} from '../../platform/dist/stand_ins/server_stand_in.js';
import {formatEvent} from '../../platform/dist/stand_ins/stream_text.js';

const ONLINE_EVENTS = 26;
const ITEM_EVENTS = 182;
/** Without a heartbeat an entry is removed after that. */
const EXPIRY_MS = 3600;

export class MixedServer extends ServerStandIn {
  async stream(received, headers, res) {
    const isItem = received.path.startsWith('/files/');
    const events = isItem ? ITEM_EVENTS : ONLINE_EVENTS;
    const {eventData} = this.options;
    const pieces = [];
    for (let n = received.firstEvent; n <= events; n++)
      pieces.push(formatEvent(n, eventData(received.path, n)));
    return this.answers.send(res, {
      status: 200,
      headers: {...headers, 'content-type': 'text/event-stream'},
      pieces,
      pauseMs: this.eventMs(received),
    });
  }

  /** Crashes, and is back after `downMs` as a new incarnation. */
  async crashFor(downMs) {
    const [ip, port] = this.listenAddress.split(':');
    await this.server.stopListening();
    await pause(EXPIRY_MS);
    await this.unlist();
    await pause(downMs - EXPIRY_MS);
    await this.server.listen(ip, Number(port));
    this.startedAtMs = Math.max(Date.now(), this.startedAtMs + 1);
    this.sequence = 0;
    await this.list('ready');
  }
}
