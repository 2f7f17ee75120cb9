/** Shared shapes of the request state machines. */

/** What a machine returns: its next state and what its task must do. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** One handler for each kind of event. */
export type Handlers<Facts, State, Event extends {kind: string}, Effect> = {
  readonly [Kind in Event['kind']]: (
    facts: Facts,
    state: State,
    event: Extract<Event, {kind: Kind}>,
  ) => Transition<State, Effect>;
};

/** Looks the handler up by the event's kind and applies it. */
export function applyHandler<
  Facts,
  State,
  Event extends {kind: string},
  Effect,
>(
  handlers: Handlers<Facts, State, Event, Effect>,
  facts: Facts,
  state: State,
  event: Event,
): Transition<State, Effect> {
  const handler = handlers[event.kind as Event['kind']] as (
    facts: Facts,
    state: State,
    event: Event,
  ) => Transition<State, Effect>;
  return handler(facts, state, event);
}
