/** The faults of the brief, as the fault harness brings them about. */

import type {RequestSite} from './request_site.js';

/** A fault that can be laid on the site at any moment. */
export interface FaultEvent {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Which of several processes or upstreams it strikes. */
  readonly target: number;
}

type Inject = (site: RequestSite, fault: FaultEvent) => void;

function forAWhile(
  site: RequestSite,
  fault: FaultEvent,
  start: () => void,
  stop: () => void,
): void {
  start();
  site.clock.setTimer(fault.durationMs, stop);
}

function pick<T>(items: readonly T[], target: number): T {
  return items[target % items.length];
}

/** SIGTERM: no new requests; the process ends when the last one has. */
function drain(site: RequestSite, index: number): void {
  const entry = site.entries()[index];
  if (!entry.shell.isAlive()) return;
  entry.isDraining = true;
  const look = () => {
    if (!entry.shell.isAlive()) return;
    if (entry.runner.activeCount() === 0) {
      entry.hasDrained = true;
      site.killEntry(index);
    } else site.clock.setTimer(50, look);
  };
  look();
}

const kinds = {
  'entry dies': (site, {target}) => site.killEntry(target % 3),
  'entry paused': (site, {target, durationMs}) =>
    site.pauseEntry(target % 3, durationMs),
  'entry cut off from its peers': (site, {target, durationMs}) =>
    site.cutOff(target % 3, durationMs),
  'entry drains': (site, {target}) => drain(site, target % 3),
  'partition owner paused past its lease'(site, {target, durationMs}) {
    const holder = site.leases.holder(target % 2);
    const index = site.entries().findIndex(entry => entry.tag === holder);
    if (index >= 0) site.pauseEntry(index, 1_500 + durationMs);
  },
  'prefill engine dies': (site, {target}) => pick(site.prefill, target).crash(),
  'decode engine dies': (site, {target}) => pick(site.decode, target).crash(),
  'prefill engine freezes'(site, fault) {
    const {gate} = pick(site.prefill, fault.target);
    forAWhile(site, fault, gate.freeze, gate.thaw);
  },
  'decode engine freezes'(site, fault) {
    const {gate} = pick(site.decode, fault.target);
    forAWhile(site, fault, gate.freeze, gate.thaw);
  },
  'prefill connections go silent': (site, {target}) =>
    pick(site.prefill, target).gate.silence(2),
  'decode connections go silent': (site, {target}) =>
    pick(site.decode, target).gate.silence(2),
  'transfers stall'(site, fault) {
    const engine = pick(site.prefill, fault.target);
    forAWhile(
      site,
      fault,
      () => engine.setFaults({stallTransfers: true}),
      () => engine.setFaults({stallTransfers: false}),
    );
  },
  'answers come late and cross'(site, fault) {
    const engines = [...site.prefill, ...site.decode];
    forAWhile(
      site,
      fault,
      () =>
        engines.forEach(engine =>
          engine.setFaults({staleFrameShare: 0.3, answerDelayMs: 60}),
        ),
      () =>
        engines.forEach(engine =>
          engine.setFaults({staleFrameShare: 0, answerDelayMs: 0}),
        ),
    );
  },
  'service dies': (site, {target}) => pick(site.services, target).crash(),
  'service freezes'(site, fault) {
    const {gate} = pick(site.services, fault.target);
    forAWhile(site, fault, gate.freeze, gate.thaw);
  },
  'service connections go silent': (site, {target}) =>
    pick(site.services, target).gate.silence(2),
  'service answers are lost'(site, fault) {
    const service = pick(site.services, fault.target);
    forAWhile(
      site,
      fault,
      () => service.setFaults({answerLostShare: 0.5}),
      () => service.setFaults({answerLostShare: 0}),
    );
  },
  'platform down'(site, fault) {
    forAWhile(
      site,
      fault,
      () => site.platform.setFaults({isDown: true}),
      () => site.platform.setFaults({isDown: false}),
    );
  },
  'platform slow'(site, fault) {
    forAWhile(
      site,
      fault,
      () => site.platform.setFaults({slowMs: 100 + 50 * fault.target}),
      () => site.platform.setFaults({slowMs: 0}),
    );
  },
  'platform answers are lost after the write'(site, fault) {
    forAWhile(
      site,
      fault,
      () => site.platform.setFaults({answerLostShare: 0.4, readLostShare: 0.1}),
      () => site.platform.setFaults({answerLostShare: 0, readLostShare: 0}),
    );
  },
  'platform writes take effect late'(site, fault) {
    forAWhile(
      site,
      fault,
      () => site.platform.setFaults({lateShare: 0.4, lateMs: 700}),
      () => site.platform.setFaults({lateShare: 0}),
    );
  },
  'platform dies with writes on the way'(site, fault) {
    const {platform} = site;
    forAWhile(site, fault, platform.crash, platform.restart);
  },
  'prefill engine leaves': site => site.leaveEngine(site.prefill[0]),
  'decode engine leaves': site => site.leaveEngine(site.decode[0]),
  'service leaves': site => site.leaveService(site.services[0]),
  'home moves': site => site.home.moveHome(),
} as const satisfies Readonly<Record<string, Inject>>;

export type FaultKind = keyof typeof kinds;

export const faultKinds = Object.keys(kinds) as readonly FaultKind[];

/** Faults of the platform and deaths, which are also tried in pairs. */
export const pairedKinds: readonly FaultKind[] = faultKinds.filter(
  kind =>
    kind.startsWith('platform') ||
    kind.endsWith('dies') ||
    kind.endsWith('its lease'),
);

/** Whether a schedule strikes the entries themselves. */
export function hasEntryFault(faults: readonly FaultEvent[]): boolean {
  return faults.some(
    ({kind}) => kind.startsWith('entry') || kind.startsWith('partition'),
  );
}

/** Whether messages to engines may be late or lost. */
export function hasEngineLinkFault(faults: readonly FaultEvent[]): boolean {
  return faults.some(
    ({kind}) =>
      kind.includes('engine freezes') ||
      kind.includes('connections go silent') ||
      kind.includes('come late'),
  );
}

export function injectFault(site: RequestSite, fault: FaultEvent): void {
  const inject: Inject = kinds[fault.kind];
  inject(site, fault);
}
