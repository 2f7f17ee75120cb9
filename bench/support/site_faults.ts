/** The faults that the fault harness can inject. */

import type {RequestSite} from './request_site.js';

/** A fault to inject at a given time. */
export interface FaultEvent {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Index of the affected process or upstream, modulo their number. */
  readonly target: number;
}

type FaultInjector = (site: RequestSite, fault: FaultEvent) => void;

function applyForDuration(
  site: RequestSite,
  fault: FaultEvent,
  start: () => void,
  stop: () => void,
): void {
  start();
  site.clock.setTimer(fault.durationMs, stop);
}

function pickTarget<T>(items: readonly T[], target: number): T {
  return items[target % items.length];
}

/** Drains an entry: it gets no new requests and ends after its last one. */
function drain(site: RequestSite, index: number): void {
  const entry = site.entries()[index];
  if (!entry.simulatedProcess.isAlive()) return;
  entry.isDraining = true;
  const checkDrained = () => {
    if (!entry.simulatedProcess.isAlive()) return;
    if (entry.runner.activeCount() === 0) {
      entry.hasDrained = true;
      site.killEntry(index);
    } else site.clock.setTimer(50, checkDrained);
  };
  checkDrained();
}

const injectors = {
  'entry dies': (site, {target}) => site.killEntry(target % 3),
  'entry paused': (site, {target, durationMs}) =>
    site.pauseEntry(target % 3, durationMs),
  'entry cut off from its peers': (site, {target, durationMs}) =>
    site.isolateEntry(target % 3, durationMs),
  'entry drains': (site, {target}) => drain(site, target % 3),
  'partition owner paused past its lease'(site, {target, durationMs}) {
    const holder = site.leases.holder(target % 2);
    const index = site.entries().findIndex(entry => entry.tag === holder);
    if (index >= 0) site.pauseEntry(index, 1_500 + durationMs);
  },
  'prefill engine dies': (site, {target}) =>
    pickTarget(site.prefill, target).crash(),
  'decode engine dies': (site, {target}) =>
    pickTarget(site.decode, target).crash(),
  'prefill engine freezes'(site, fault) {
    const {gate} = pickTarget(site.prefill, fault.target);
    applyForDuration(site, fault, gate.freeze, gate.thaw);
  },
  'decode engine freezes'(site, fault) {
    const {gate} = pickTarget(site.decode, fault.target);
    applyForDuration(site, fault, gate.freeze, gate.thaw);
  },
  'prefill connections go silent': (site, {target}) =>
    pickTarget(site.prefill, target).gate.silence(2),
  'decode connections go silent': (site, {target}) =>
    pickTarget(site.decode, target).gate.silence(2),
  'transfers stall'(site, fault) {
    const engine = pickTarget(site.prefill, fault.target);
    applyForDuration(
      site,
      fault,
      () => engine.setFaults({stallTransfers: true}),
      () => engine.setFaults({stallTransfers: false}),
    );
  },
  'answers come late and cross'(site, fault) {
    const engines = [...site.prefill, ...site.decode];
    applyForDuration(
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
  'service dies': (site, {target}) => pickTarget(site.services, target).crash(),
  'service freezes'(site, fault) {
    const {gate} = pickTarget(site.services, fault.target);
    applyForDuration(site, fault, gate.freeze, gate.thaw);
  },
  'service connections go silent': (site, {target}) =>
    pickTarget(site.services, target).gate.silence(2),
  'service answers are lost'(site, fault) {
    const service = pickTarget(site.services, fault.target);
    applyForDuration(
      site,
      fault,
      () => service.setFaults({answerLostShare: 0.5}),
      () => service.setFaults({answerLostShare: 0}),
    );
  },
  'platform down'(site, fault) {
    applyForDuration(
      site,
      fault,
      () => site.platform.setFaults({isDown: true}),
      () => site.platform.setFaults({isDown: false}),
    );
  },
  'platform slow'(site, fault) {
    applyForDuration(
      site,
      fault,
      () => site.platform.setFaults({slowMs: 100 + 50 * fault.target}),
      () => site.platform.setFaults({slowMs: 0}),
    );
  },
  'platform answers are lost after the write'(site, fault) {
    applyForDuration(
      site,
      fault,
      () => site.platform.setFaults({answerLostShare: 0.4, readLostShare: 0.1}),
      () => site.platform.setFaults({answerLostShare: 0, readLostShare: 0}),
    );
  },
  'platform writes take effect late'(site, fault) {
    applyForDuration(
      site,
      fault,
      () => site.platform.setFaults({lateShare: 0.4, lateMs: 700}),
      () => site.platform.setFaults({lateShare: 0}),
    );
  },
  'platform dies with writes on the way'(site, fault) {
    const {platform} = site;
    applyForDuration(site, fault, platform.crash, platform.restart);
  },
  'prefill engine leaves': site => site.markEngineLeaving(site.prefill[0]),
  'decode engine leaves': site => site.markEngineLeaving(site.decode[0]),
  'service leaves': site => site.markServiceLeaving(site.services[0]),
  'home moves': site => site.home.restartHome(),
} as const satisfies Readonly<Record<string, FaultInjector>>;

export type FaultKind = keyof typeof injectors;

export const faultKinds = Object.keys(injectors) as readonly FaultKind[];

/** Faults that the matrix also injects as the second fault of a pair. */
export const pairedKinds: readonly FaultKind[] = faultKinds.filter(
  kind =>
    kind.startsWith('platform') ||
    kind.endsWith('dies') ||
    kind.endsWith('its lease'),
);

/** Whether a fault affects entry processes. */
export function hasEntryFault(faults: readonly FaultEvent[]): boolean {
  return faults.some(
    ({kind}) => kind.startsWith('entry') || kind.startsWith('partition'),
  );
}

/** Whether a fault delays or loses messages to engines. */
export function hasEngineLinkFault(faults: readonly FaultEvent[]): boolean {
  return faults.some(
    ({kind}) =>
      kind.includes('engine freezes') ||
      kind.includes('connections go silent') ||
      kind.includes('come late'),
  );
}

export function injectFault(site: RequestSite, fault: FaultEvent): void {
  const inject: FaultInjector = injectors[fault.kind];
  inject(site, fault);
}
