/** Requests that are being run, so that a leaving host can end them in time. */

import {errorAnswers, type RequestError} from '../core/error_kinds.js';
import type {RelayRequest} from '../ports/relay.js';
import type {CancellationSource} from './front/cancellation.js';
import type {JobOutcome} from './job_outcome.js';
import type {RelayJob} from './relay_types.js';

export interface OpenJobsHost {
  /** Whether the request has been sent to no upstream, not even for a prefill. */
  isWaiting(request: RelayRequest): boolean;
  mayHaveRun(request: RelayRequest): boolean;
}

/** A job that can be ended from outside. */
export interface OpenJob {
  /** Answers the caller with the error and cancels the job; only once. */
  end(error: RequestError): void;
  /** Notes that the request was admitted, and is run as the given job. */
  admit(job: CancellableJob): void;
  /** The outcome, with the error that ended the job if there is one. */
  toOutcome(outcome: JobOutcome): JobOutcome;
  close(): void;
}

export type CancellableJob = RelayJob & {
  readonly cancellation: CancellationSource;
};

/** A job whose client account hasn't been admitted. */
export type PendingJob = Omit<CancellableJob, 'admitted'>;

export interface OpenJobs {
  open(job: PendingJob): OpenJob;
  /** Ends the jobs that wait and for which `find` returns an error. */
  refuseWaiting(find: (job: PendingJob) => RequestError | undefined): void;
  /**
   * Ends all jobs of whose answer nothing has been sent, unless it is whole: those that no upstream has run
   * with the given error, the others with one that says so.
   */
  endUnanswered(notRun: RequestError): void;
}

interface Entry {
  job: PendingJob | CancellableJob;
  readonly end: OpenJob['end'];
}

const MAY_HAVE_RUN: RequestError = {
  kind: 'outcome-unknown',
  detail: 'This entry leaves before the answer is there.',
};

export function createOpenJobs(host: OpenJobsHost): OpenJobs {
  const entries = new Set<Entry>();

  /** A call that upstreams have refused waits for another one. */
  function isWaiting({job}: Entry): boolean {
    if (!('admitted' in job) || host.isWaiting(job.request)) return true;
    return job.route.kind !== 'stream' && !host.mayHaveRun(job.request);
  }

  return {
    open(pending) {
      const {caller, cancellation} = pending;
      let error: RequestError | undefined;
      const entry: Entry = {
        job: pending,
        end(given) {
          if (error || (caller.hasBegun && !caller.isReplaceable)) return;
          error = given;
          caller.refuse(given);
          cancellation.cancel();
        },
      };
      entries.add(entry);
      return {
        end: entry.end,
        admit: job => void (entry.job = job),
        toOutcome(outcome) {
          if (!error) return outcome;
          const {kind} = error;
          const hasNotRun = errorAnswers[kind].runState === 'not-run';
          return {
            ...outcome,
            end: hasNotRun ? 'refused' : 'failed',
            reason: kind,
          };
        },
        close: () => void entries.delete(entry),
      };
    },
    refuseWaiting(find) {
      for (const entry of [...entries]) {
        const error = isWaiting(entry) ? find(entry.job) : undefined;
        if (error) entry.end(error);
      }
    },
    endUnanswered(notRun) {
      for (const {job, end} of [...entries]) {
        end(host.mayHaveRun(job.request) ? MAY_HAVE_RUN : notRun);
      }
    },
  };
}
