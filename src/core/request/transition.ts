/** Types shared by the request state machines. */

/** The next state, and the effects that the caller must perform. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A handler for each kind of event. */
export type Handlers<Facts, State, Event extends {kind: string}, Effect> = {
  readonly [Kind in Event['kind']]: (
    facts: Facts,
    state: State,
    event: Extract<Event, {kind: Kind}>,
  ) => Transition<State, Effect>;
};

/** Calls the handler for the event's kind. */
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
